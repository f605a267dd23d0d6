/**
 * Placement of requests: load and health of the upstreams as one entry sees them, the choice of an
 * upstream, the queue of requests that wait for capacity, load shedding, and the retry budget.
 */
package org.papayawalk.core.place;
