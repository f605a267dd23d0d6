package org.papayawalk.lab.burst;

/** Ways to distribute weights that are compared. Immutable. */
enum Strategy {
    /** The way of the product. */
    SWARM,
    /** Every host takes everything from the origin. */
    ORIGIN,
    /** Every host takes everything from the host before it. */
    CHAIN,
    /** Every host takes everything from its parent in a binary tree. */
    TREE,
    /** Random chunks from random peers, random chunks from the origin. */
    RANDOM
}
