/**
 * Stand-alone agent beside one upstream: admission and forwarding of requests, rollout of versions,
 * and the connection to the exchange of weights in {@code daemon.swarm}.
 */
package org.papayawalk.daemon.standalone.agent;
