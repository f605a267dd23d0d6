package org.papayawalk.core.desired;

import java.time.Duration;
import java.util.List;
import org.papayawalk.core.id.ServiceId;

/**
 * Routing rule for requests with one host name and path prefix. Immutable.
 *
 * @param name name of the route
 * @param host host name in the Host header, compared without case
 * @param prefix path prefix, begins and ends with a slash
 * @param kind whether the requests may be retried
 * @param timeout time limit of a request
 * @param targetLatency time within which an answer is worth its full value to the caller
 * @param priority priority, 0 is the highest
 * @param shares services that receive the requests, with their weights; at least one
 * @param maxAttempts maximum number of upstreams that one request is sent to, at least 1
 * @param allowsAnonymous whether requests need no API key
 * @param resumable whether another upstream may resume an interrupted stream
 * @param homes regions in which the requests may be served
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
        boolean resumable,
        Homes homes) {

    /**
     * Copies the shares.
     *
     * @throws IllegalArgumentException if there are no shares
     */
    public RouteRule {
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException(
                    "route \"" + name + "\" has no service, expected at least one");
        }
    }

    /**
     * Creates a rule whose requests may be served in every region.
     *
     * @param name see the component
     * @param host see the component
     * @param prefix see the component
     * @param kind see the component
     * @param timeout see the component
     * @param targetLatency see the component
     * @param priority see the component
     * @param shares see the component
     * @param maxAttempts see the component
     * @param allowsAnonymous see the component
     * @param resumable see the component
     */
    public RouteRule(
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
        this(
                name,
                host,
                prefix,
                kind,
                timeout,
                targetLatency,
                priority,
                shares,
                maxAttempts,
                allowsAnonymous,
                resumable,
                Homes.ANYWHERE);
    }

    /**
     * Returns whether a request may run more than once.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean retryable() {
        return kind == RequestKind.SAFE || (kind == RequestKind.STREAMING && resumable);
    }

    /**
     * Selects the service of a request by weighted random choice.
     *
     * @param random random number in [0, 1)
     * @return service, selected with a probability in proportion to its weight; the first one if
     *     all weights are 0
     */
    public ServiceId chooseService(double random) {
        long total = shares.stream().mapToLong(TrafficShare::weight).sum();
        double left = random * total;
        for (TrafficShare s : shares) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return shares.get(0).service();
    }
}
