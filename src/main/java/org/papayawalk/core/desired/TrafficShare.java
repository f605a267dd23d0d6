package org.papayawalk.core.desired;

import org.papayawalk.core.id.ServiceId;

/**
 * Part of a route's requests that goes to one service. Immutable.
 *
 * @param service service that takes the part
 * @param weight weight of the part beside the route's other parts, at least 0
 */
public record TrafficShare(ServiceId service, int weight) {}
