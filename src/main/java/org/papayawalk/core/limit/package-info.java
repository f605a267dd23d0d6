/**
 * Limits on the rate of requests that upstreams state for themselves, how the entries divide such a
 * limit among them, and what they tell each other of it.
 */
package org.papayawalk.core.limit;
