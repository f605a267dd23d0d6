package org.papayawalk.core.desired;

import io.vavr.control.Either;
import java.util.Optional;

/** Decides whether the desired state allows a request. Holds no state; safe from any thread. */
public final class RequestAuthorizer {

    /** Prevents instances. */
    private RequestAuthorizer() {}

    /**
     * Decides on a request.
     *
     * @param desired desired state in force
     * @param host value of the Host header, may be null
     * @param target path and query
     * @param key key of the caller, empty if it gave none
     * @param draw random number from 0 up to but not including 1, for routes with several services
     * @return the request as admitted, or why it is not
     */
    public static Either<Denial, AuthorizedRequest> authorize(
            DesiredState desired, String host, String target, Optional<String> key, double draw) {
        Optional<RouteRule> route = desired.routes().find(host, target);
        if (route.isEmpty()) {
            return Either.left(Denial.NO_ROUTE);
        }
        Optional<Caller> caller = key.map(desired.callersByKey()::get);
        if (desired.apiKeyRequired() && !route.get().allowsAnonymous() && caller.isEmpty()) {
            return Either.left(Denial.KEY_UNKNOWN);
        }
        return Either.right(
                new AuthorizedRequest(route.get(), caller, route.get().chooseService(draw)));
    }
}
