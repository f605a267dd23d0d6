package org.papayawalk.core.desired;

import java.time.Duration;
import java.util.List;
import org.papayawalk.core.id.ServiceId;

/**
 * Where requests of one host and path prefix go, and how they may be treated. Immutable.
 *
 * @param name name of the route
 * @param host host name that callers give, in lower case
 * @param prefix start of the path, begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout longest time that a caller is kept waiting
 * @param targetLatency time within which an answer earns its full benefit
 * @param priority rank, 0 is the most urgent
 * @param shares services that take the requests, at least one
 * @param maxAttempts most upstreams that one attempt of a caller is sent to, at least 1
 * @param allowsAnonymous whether requests need no key
 * @param resumable whether an interrupted stream may go on at another upstream
 */
public record RouteRule(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        Duration timeout,
        Duration targetLatency,
        int priority,
        List<TrafficShare> shares,
        int maxAttempts,
        boolean allowsAnonymous,
        boolean resumable) {

    /**
     * Copies the shares.
     *
     * @throws IllegalArgumentException if there is no share
     */
    public RouteRule {
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " names no service");
        }
    }

    /**
     * Tells whether a request may run more than once.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean retryable() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAMING && resumable);
    }

    /**
     * Chooses the service of a request.
     *
     * @param draw random number from 0 up to but not including 1
     * @return service, with the probability of its weight
     */
    public ServiceId chooseService(double draw) {
        int total = shares.stream().mapToInt(TrafficShare::weight).sum();
        double left = draw * total;
        for (TrafficShare s : shares) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return shares.get(0).service();
    }
}
