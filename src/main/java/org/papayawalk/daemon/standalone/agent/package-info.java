/**
 * Stand-alone agent beside one upstream: admission and forwarding of requests, distribution of
 * weights, and rollout of versions.
 */
package org.papayawalk.daemon.standalone.agent;
