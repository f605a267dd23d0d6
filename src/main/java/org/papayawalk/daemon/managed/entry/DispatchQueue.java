package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.place.LoadSheddingRule;
import org.papayawalk.core.place.WaitQueue;

/**
 * Sends the requests of one service, lets them wait for room, and refuses those that wait in vain.
 * Confined to the traffic thread.
 */
final class DispatchQueue {
    /** Pause between looks for room that nothing announced. */
    private static final Duration SCAN_INTERVAL = Duration.ofMillis(20);

    /** Time that a stream waits for an upstream to continue it. */
    private static final Duration RESUME_TIMEOUT = Duration.ofMillis(700);

    /** Decides how long requests wait and when refused callers come back. */
    private static final LoadSheddingRule WAIT_RULE = LoadSheddingRule.DEFAULT;

    /** Reason of a refusal while all upstreams are full. */
    private static final String NO_CAPACITY_REASON = "no upstream has room";

    /** Reason of a refusal while no upstream could answer. */
    private static final String UNAVAILABLE_REASON = "no upstream can answer";

    /** Traffic thread. */
    private final EventLoop loop;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Source of the spread of returns. */
    private final RandomGenerator random;

    /** Requests that wait. */
    private final WaitQueue<Exchange> queue = new WaitQueue<>();

    /** Since when no upstream can answer; null if one can. */
    private Instant unavailableSince;

    /** Whether a look for room is scheduled for at once. */
    private boolean immediateScanScheduled;

    /** Whether a look for room is scheduled for later. */
    private boolean nextScanScheduled;

    /**
     * Creates a line.
     *
     * @param loop traffic thread
     * @param clock clock that never jumps
     * @param random source of the spread of returns
     */
    DispatchQueue(EventLoop loop, InstantSource clock, RandomGenerator random) {
        this.loop = loop;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Sends a request to an upstream, or lets it wait, or refuses it.
     *
     * @param exchange request
     * @param now present time
     */
    void dispatch(Exchange exchange, Instant now) {
        WaitQueue.Rank rank = rank(exchange, now);
        if (queue.precedesAll(rank) && trySend(exchange, now)) {
            return;
        }
        recordAvailability(exchange.hasCandidate(now), now);
        Duration target = exchange.call().route().targetLatency();
        Instant until =
                exchange.stream().started()
                        ? now.plus(RESUME_TIMEOUT)
                        : exchange.receivedAt()
                                .plus(WAIT_RULE.maxWait(target, unavailableFor(now)));
        if (!queue.offer(exchange, rank, until, now)) {
            refuse(exchange, now);
            return;
        }
        scheduleNextScan();
    }

    /** Learns that an upstream may have room. */
    void capacityAvailable() {
        if (!queue.isEmpty() && !immediateScanScheduled) {
            immediateScanScheduled = true;
            loop.execute(
                    () -> {
                        immediateScanScheduled = false;
                        scan();
                    });
        }
    }

    /**
     * Returns when the refused caller of a request may come back.
     *
     * @param exchange request
     * @param now present time
     * @return time from now
     */
    Duration retryAfter(Exchange exchange, Instant now) {
        return WAIT_RULE.retryAfter(
                exchange.call().route().targetLatency(),
                Duration.between(now, exchange.deadline()),
                unavailableFor(now),
                random.nextDouble());
    }

    /**
     * Ranks a request. A caller that was refused before comes back with less time than its route
     * gives; its target has passed.
     *
     * @param exchange request
     * @param now present time
     * @return place among those that wait
     */
    private static WaitQueue.Rank rank(Exchange exchange, Instant now) {
        RouteRule route = exchange.call().route();
        Duration left = Duration.between(now, exchange.deadline());
        boolean late = left.compareTo(route.timeout().minus(route.targetLatency())) < 0;
        return new WaitQueue.Rank(exchange.call().priority(), late && !exchange.stream().started());
    }

    /** Looks for room for those that wait, and refuses those that have waited long enough. */
    private void scan() {
        Instant now = clock.instant();
        for (Exchange e : queue.dispatch(Exchange::isCompleted, x -> trySend(x, now), now)) {
            refuse(e, now);
        }
        scheduleNextScan();
    }

    /**
     * Sends a request if an upstream has room.
     *
     * @param exchange request
     * @param now present time
     * @return true if it was sent
     */
    private boolean trySend(Exchange exchange, Instant now) {
        boolean sent = exchange.trySend(now);
        if (sent) {
            recordAvailability(true, now);
        }
        return sent;
    }

    /**
     * Refuses a request.
     *
     * @param exchange request
     * @param now present time
     */
    private void refuse(Exchange exchange, Instant now) {
        exchange.endUnanswered(
                unavailableSince == null ? NO_CAPACITY_REASON : UNAVAILABLE_REASON,
                retryAfter(exchange, now));
    }

    /**
     * Records whether an upstream could answer, if it had room.
     *
     * @param able whether one could
     * @param now present time
     */
    private void recordAvailability(boolean able, Instant now) {
        if (able) {
            unavailableSince = null;
        } else if (unavailableSince == null) {
            unavailableSince = now;
        }
    }

    /**
     * Returns for how long no upstream could answer.
     *
     * @param now present time
     * @return time, empty if one can
     */
    private Optional<Duration> unavailableFor(Instant now) {
        return Optional.ofNullable(unavailableSince).map(t -> Duration.between(t, now));
    }

    /** Schedules the next look. */
    private void scheduleNextScan() {
        if (queue.isEmpty() || nextScanScheduled) {
            return;
        }
        nextScanScheduled = true;
        loop.schedule(
                () -> {
                    nextScanScheduled = false;
                    scan();
                },
                SCAN_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }
}
