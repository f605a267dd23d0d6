package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Estimates how long a message takes to upstreams, from the time between sending a request and the
 * head of its response. A message needs less than the fastest of the recent responses did. If
 * responses fail to arrive, it may need as long as a request has waited for one.
 *
 * <p>Holds only requests of the last seconds. Not thread-safe.
 *
 * @param <K> what the requests are grouped by, such as an upstream or a failure domain
 */
public final class ResponseDelays<K> {
    /** Time after which a response or an unanswered request no longer counts. */
    private static final Duration RETENTION = Duration.ofSeconds(4);

    /** Time in which responses count as equally recent. */
    private final Duration recency;

    private final Map<K, Group> groups = new HashMap<>();

    /**
     * Creates an estimator without requests.
     *
     * @param recency time in which responses count as equally recent, at most 4 s; several requests
     *     of a group should be answered within it
     */
    public ResponseDelays(Duration recency) {
        this.recency = recency;
    }

    /** Request that was sent. Requests are told apart by identity. */
    public static final class Sent {
        private final Instant at;

        private Sent(Instant at) {
            this.at = at;
        }
    }

    /**
     * Records that a request is sent.
     *
     * @param key group of the request
     * @param now present time
     * @return request, for {@link #responded} and {@link #ended}
     */
    public Sent sent(K key, Instant now) {
        Sent request = new Sent(now);
        Group group = groups.computeIfAbsent(key, k -> new Group());
        group.forget(now.minus(RETENTION));
        group.unanswered.add(request);
        return request;
    }

    /**
     * Records the head of a response.
     *
     * @param key group of the request
     * @param request request
     * @param now present time
     */
    public void responded(K key, Sent request, Instant now) {
        Group group = groups.get(key);
        if (group != null && group.unanswered.remove(request)) {
            group.responses.addLast(new Response(now, Duration.between(request.at, now)));
        }
    }

    /**
     * Records the end of a request. No effect if its response has begun.
     *
     * @param key group of the request
     * @param request request
     */
    public void ended(K key, Sent request) {
        Group group = groups.get(key);
        if (group != null) {
            group.unanswered.remove(request);
        }
    }

    /**
     * Returns how long a message may take.
     *
     * @param key group of its receiver
     * @param now present time
     * @return zero if nothing is known of the last seconds
     */
    public Duration estimate(K key, Instant now) {
        Group group = groups.get(key);
        if (group == null) {
            return Duration.ZERO;
        }
        group.forget(now.minus(RETENTION));
        if (group.isEmpty()) {
            groups.remove(key);
            return Duration.ZERO;
        }
        Duration fastest = group.fastest(recency);
        boolean answering =
                !group.responses.isEmpty()
                        && !group.responses.getLast().at.plus(recency).isBefore(now);
        if (answering || group.unanswered.isEmpty()) {
            return fastest;
        }
        Duration longestWait = Duration.between(group.unanswered.iterator().next().at, now);
        return longestWait.compareTo(fastest) > 0 ? longestWait : fastest;
    }

    private record Response(Instant at, Duration delay) {}

    /** Requests with the same key. */
    private static final class Group {
        /** Oldest first. */
        private final Deque<Response> responses = new ArrayDeque<>();

        /** Requests whose response has not begun, oldest first. */
        private final Set<Sent> unanswered = new LinkedHashSet<>();

        boolean isEmpty() {
            return responses.isEmpty() && unanswered.isEmpty();
        }

        void forget(Instant before) {
            while (!responses.isEmpty() && responses.getFirst().at.isBefore(before)) {
                responses.removeFirst();
            }
            unanswered.removeIf(s -> s.at.isBefore(before));
        }

        // Returns the shortest delay among the last response and those shortly before it.
        Duration fastest(Duration recency) {
            if (responses.isEmpty()) {
                return Duration.ZERO;
            }
            Instant from = responses.getLast().at.minus(recency);
            return responses.stream()
                    .filter(r -> !r.at.isBefore(from))
                    .map(Response::delay)
                    .min(Duration::compareTo)
                    .orElseThrow();
        }
    }
}
