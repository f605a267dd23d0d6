package org.papayawalk.core.desired;

import org.papayawalk.core.id.ServiceId;

/**
 * Share of a route's requests that one service receives. Immutable.
 *
 * @param service service that receives the requests
 * @param weight weight in relation to the other shares of the route, at least 0
 */
public record TrafficShare(ServiceId service, int weight) {}
