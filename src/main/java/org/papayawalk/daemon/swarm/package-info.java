/**
 * Exchange of model weights between hosts: fetches the chunks of a version from peers and from the
 * origin, verifies and stages them, and serves them to peers. Used by the stand-alone agent and by
 * the agents, relays and origin hosts on the managed platform.
 */
package org.papayawalk.daemon.swarm;
