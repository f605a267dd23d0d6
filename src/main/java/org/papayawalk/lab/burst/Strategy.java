package org.papayawalk.lab.burst;

/** Strategies of distributing weights to hosts. All but {@code SWARM} are baselines. Immutable. */
enum Strategy {
    /** Peer-to-peer distribution as used in production. */
    SWARM,
    /** Every host requests all chunks from the origin. */
    ORIGIN,
    /** Every host requests all chunks from the host before it, the first host from the origin. */
    CHAIN,
    /**
     * Every host requests all chunks from its parent in a binary tree, the root from the origin.
     */
    TREE,
    /** Every host requests random chunks from random peers, or from the origin. */
    RANDOM
}
