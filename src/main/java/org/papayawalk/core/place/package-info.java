/**
 * Placement of requests in the managed entry: load and health of the upstreams as measured by one
 * entry, the choice of an upstream, the queue of requests that wait for capacity, load shedding,
 * and the retry budget. The stand-alone entry uses {@link org.papayawalk.core.route} instead.
 */
package org.papayawalk.core.place;
