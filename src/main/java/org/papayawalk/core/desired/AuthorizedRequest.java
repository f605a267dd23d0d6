package org.papayawalk.core.desired;

import java.util.Optional;
import java.util.OptionalInt;
import org.papayawalk.core.id.ServiceId;

/**
 * Request that the desired state allows. Immutable.
 *
 * @param route route of the request
 * @param caller holder of the caller's key, empty if no key was needed or given
 * @param service service that takes the request
 */
public record AuthorizedRequest(RouteRule route, Optional<Caller> caller, ServiceId service) {

    /**
     * Returns the rank of the request, the team's before the route's.
     *
     * @return rank, 0 is the most urgent
     */
    public int priority() {
        return caller.map(Caller::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.priority());
    }
}
