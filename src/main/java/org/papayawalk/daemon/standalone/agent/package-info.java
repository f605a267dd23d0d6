/**
 * The agent before one upstream: admission and forwarding of requests, fetching and offering of
 * weights, and the rollout of versions.
 */
package org.papayawalk.daemon.standalone.agent;
