package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.papayawalk.core.desired.AuthorizedRequest;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.log.Event;

/**
 * Data of a request that has ended, for the log and the metrics. Immutable.
 *
 * @param requestId id given by the caller, empty if it gave none
 * @param authorized request as authorized under the desired state, empty if it was not authorized
 * @param upstreams upstreams that the request was sent to
 * @param attempts number of attempts that reached their upstream, or may have
 * @param status status sent to the caller, 499 if it disconnected
 * @param reason why the first upstream did not answer the request, empty if it did
 * @param receivedAt when the request was received completely
 * @param statedMillis time that the caller stated to wait, in milliseconds; empty if it stated none
 * @param firstPartAt when the first part of the response was received, empty if none was
 * @param completedAt when the request ended
 */
record RequestRecord(
        String requestId,
        Optional<AuthorizedRequest> authorized,
        Set<UpstreamId> upstreams,
        int attempts,
        int status,
        String reason,
        Instant receivedAt,
        OptionalLong statedMillis,
        Optional<Instant> firstPartAt,
        Instant completedAt) {

    /** Copies the set of upstreams. */
    RequestRecord {
        upstreams = Set.copyOf(upstreams);
    }

    /**
     * Returns the name of the route.
     *
     * @return name, empty if the request was not authorized
     */
    String route() {
        return authorized.map(c -> c.route().name()).orElse("");
    }

    /**
     * Returns the name of the service.
     *
     * @return name, empty if the request was not authorized
     */
    String service() {
        return authorized.map(c -> c.service().value()).orElse("");
    }

    /**
     * Returns the name of the team that holds the caller's key.
     *
     * @return name, empty if no key was needed or the request was not authorized
     */
    String team() {
        return authorized.flatMap(AuthorizedRequest::caller).map(c -> c.team().value()).orElse("");
    }

    /**
     * Writes the log line of the request.
     *
     * @param desiredVersion version of the desired state in force, 0 if there is none
     */
    void log(long desiredVersion) {
        Event event =
                Event.named("request")
                        .with("id", requestId)
                        .with("status", status)
                        .with("route", route())
                        .with("service", service())
                        .with("team", team())
                        .with("upstreams", upstreams)
                        .with("sendings", attempts)
                        .with("first_ms", firstPartAt.map(this::millisUntil).orElse(-1L))
                        .with("total_ms", millisUntil(completedAt))
                        .with("stated_ms", statedMillis.orElse(-1L))
                        .with("desired", desiredVersion);
        if (!reason.isEmpty()) {
            event.with("reason", reason);
        }
        event.info();
    }

    private long millisUntil(Instant at) {
        return Duration.between(receivedAt, at).toMillis();
    }
}
