package org.papayawalk.core.desired;

import java.util.Optional;
import java.util.OptionalInt;
import org.papayawalk.core.id.ServiceId;

/**
 * Request that matches a route and, where the route needs one, carries a valid API key. Immutable.
 *
 * @param route route that the request matches
 * @param caller team that holds the request's API key, empty if the key is missing or unknown
 * @param service service that receives the request
 */
public record AuthorizedRequest(RouteRule route, Optional<Caller> caller, ServiceId service) {

    /**
     * Returns the priority of the request. The priority of the team overrides that of the route.
     *
     * @return priority, 0 is the highest
     */
    public int priority() {
        return caller.map(Caller::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.priority());
    }

    /**
     * Returns where the request may be served.
     *
     * @return regions that both the route and the team allow
     */
    public Homes homes() {
        return caller.map(c -> c.homes().and(route.homes())).orElse(route.homes());
    }
}
