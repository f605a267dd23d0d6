package org.papayawalk.daemon.managed.entry;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.desired.AuthorizedRequest;
import org.papayawalk.core.id.UpstreamId;

/**
 * What is logged and counted of a request that is over. Immutable.
 *
 * @param requestId id that the caller gave
 * @param call request as admitted, empty if it was not
 * @param upstreams upstreams that the request was sent to
 * @param attempts number of upstreams that it may have reached
 * @param status status that the caller got, 499 if it left
 * @param reason why the request was not answered by its first upstream, empty if it was
 * @param receivedAt when it was read whole
 * @param firstPartAt when the first part of the answer came
 * @param completedAt when it was over
 */
record RequestRecord(
        String requestId,
        Optional<AuthorizedRequest> call,
        Set<UpstreamId> upstreams,
        int attempts,
        int status,
        String reason,
        Instant receivedAt,
        Optional<Instant> firstPartAt,
        Instant completedAt) {

    /** Copies the upstreams. */
    RequestRecord {
        upstreams = Set.copyOf(upstreams);
    }

    /**
     * Returns the name of the route.
     *
     * @return name, empty if the request was not admitted
     */
    String route() {
        return call.map(c -> c.route().name()).orElse("");
    }

    /**
     * Returns the service.
     *
     * @return name, empty if the request was not admitted
     */
    String service() {
        return call.map(c -> c.service().value()).orElse("");
    }

    /**
     * Returns the team.
     *
     * @return name, empty if no key was needed
     */
    String team() {
        return call.flatMap(AuthorizedRequest::caller).map(c -> c.team().value()).orElse("");
    }
}
