package org.papayawalk.core.desired;

import io.vavr.control.Either;
import java.util.Optional;

/**
 * Matches requests to routes, checks their API keys and selects the service of each. Stateless;
 * thread-safe.
 */
public final class RequestAuthorizer {

    private RequestAuthorizer() {}

    /**
     * Authorizes a request.
     *
     * @param desired desired state in force
     * @param host value of the Host header, may be null
     * @param target request target: path and query
     * @param key API key of the request, empty if it carries none
     * @param random random number in [0, 1), which selects among the services of the route
     * @return the authorized request, or the reason for its denial
     */
    public static Either<Denial, AuthorizedRequest> authorize(
            DesiredState desired, String host, String target, Optional<String> key, double random) {
        Optional<RouteRule> route = desired.routes().find(host, target);
        if (route.isEmpty()) {
            return Either.left(Denial.NO_ROUTE);
        }
        Optional<Caller> caller = key.map(desired.callersByKey()::get);
        if (desired.apiKeyRequired() && !route.get().allowsAnonymous() && caller.isEmpty()) {
            return Either.left(Denial.KEY_UNKNOWN);
        }
        return Either.right(
                new AuthorizedRequest(route.get(), caller, route.get().chooseService(random)));
    }

    /**
     * Returns where a request may be served.
     *
     * @param desired desired state in force
     * @param host value of the Host header, may be null
     * @param target request target: path and query
     * @param key API key of the request, empty if it carries none
     * @return regions that both its route and its team allow, as far as the desired state has these
     */
    public static Homes homes(
            DesiredState desired, String host, String target, Optional<String> key) {
        Homes ofRoute =
                desired.routes().find(host, target).map(RouteRule::homes).orElse(Homes.ANYWHERE);
        return key.map(desired.callersByKey()::get)
                .map(c -> c.homes().and(ofRoute))
                .orElse(ofRoute);
    }
}
