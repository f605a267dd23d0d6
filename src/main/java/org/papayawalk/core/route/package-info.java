/**
 * Routing in the stand-alone entry: selection of the agent that receives a request, outlier
 * detection and the retry budget. The managed entry uses {@link org.papayawalk.core.place} instead.
 */
package org.papayawalk.core.route;
