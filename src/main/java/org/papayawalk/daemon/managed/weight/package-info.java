/**
 * Weights on the managed platform: versions named by numbers, their origin, and their distribution
 * from the origin to relays and agents.
 */
package org.papayawalk.daemon.managed.weight;
