package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.papayawalk.core.desired.Homes;
import org.papayawalk.core.place.LoadSheddingRule;
import org.papayawalk.core.place.WaitQueue;

/**
 * Dispatches the requests of one service. Requests without an available upstream wait in a bounded
 * queue ordered by priority and are refused when their waiting time ends. Confined to the event
 * loop thread.
 */
final class DispatchQueue {
    /** Interval at which waiting requests are tried again, for capacity that no event signals. */
    private static final Duration SCAN_INTERVAL = Duration.ofMillis(20);

    /** Time that an interrupted stream waits for an upstream to resume it. */
    private static final Duration RESUME_TIMEOUT = Duration.ofMillis(700);

    private static final LoadSheddingRule LOAD_SHEDDING_RULE = LoadSheddingRule.DEFAULT;

    /** Reason of a refusal while upstreams can serve the request but all are at capacity. */
    private static final String NO_CAPACITY_REASON = "no upstream has room";

    /** Reason of a refusal while no upstream can serve the request. */
    private static final String UNAVAILABLE_REASON = "no upstream can answer";

    private final EventLoop loop;

    private final InstantSource clock;

    private final RandomGenerator random;

    /** Receives the rank of each request that finds no upstream with room, and the time. */
    private final BiConsumer<Integer, Instant> onNoRoom;

    private final WaitQueue<Exchange> queue = new WaitQueue<>();

    /** Availability for requests with the same homes. */
    private final Map<Homes, Availability> availabilities = new HashMap<>();

    private boolean immediateScanScheduled;

    private boolean nextScanScheduled;

    /**
     * Creates an empty queue.
     *
     * @param loop event loop thread
     * @param clock monotonic clock
     * @param random random generator for the jitter of retry times
     * @param onNoRoom receives the rank of each request that finds no upstream with room
     */
    DispatchQueue(
            EventLoop loop,
            InstantSource clock,
            RandomGenerator random,
            BiConsumer<Integer, Instant> onNoRoom) {
        this.onNoRoom = onNoRoom;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Sends a request to an upstream, queues it, or refuses it.
     *
     * @param exchange request
     * @param now present time
     */
    void dispatch(Exchange exchange, Instant now) {
        if (precedesAll(exchange, now) && trySend(exchange, now)) {
            return;
        }
        WaitQueue.Rank rank = rank(exchange, now);
        Instant waitEnd = waitEnd(exchange, Optional.empty());
        Optional<Instant> availableAt = exchange.choice().availableAt(now);
        availability(exchange)
                .record(availableAt.filter(t -> !isHopeless(t, waitEnd, now)).isPresent(), now);
        Instant until =
                exchange.stream().started()
                        ? now.plus(RESUME_TIMEOUT)
                        : waitEnd(exchange, outage(exchange, now));
        if (availableAt.isPresent()) {
            onNoRoom.accept(exchange.authorized().priority(), now);
        }
        if (!queue.offer(exchange, rank, until, now)) {
            refuse(exchange, now);
            return;
        }
        scheduleNextScan();
    }

    /**
     * Returns whether a request would be sent before all waiting ones.
     *
     * @param exchange request
     * @param now present time
     * @return true if no waiting request has a higher rank
     */
    boolean precedesAll(Exchange exchange, Instant now) {
        return queue.precedesAll(rank(exchange, now));
    }

    /** Schedules an immediate scan of the queue because an upstream may have capacity. */
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
     * Returns when the caller of a refused request may retry: once an upstream takes requests
     * again, if that is known.
     *
     * @param exchange request
     * @param now present time
     * @return delay from now
     */
    Duration retryAfter(Exchange exchange, Instant now) {
        Optional<Instant> availableAt =
                exchange.choice().availableAt(now).filter(t -> t.isAfter(now));
        if (availableAt.isPresent()) {
            Duration left = Duration.between(now, availableAt.get());
            return LOAD_SHEDDING_RULE.retryAfter(left, random.nextDouble());
        }
        return LOAD_SHEDDING_RULE.retryAfter(
                exchange.authorized().route().targetLatency(),
                Duration.between(now, exchange.timing().deadline()),
                outage(exchange, now),
                random.nextDouble());
    }

    private static Instant waitEnd(Exchange exchange, Optional<LoadSheddingRule.Outage> outage) {
        Duration target = exchange.timing().target();
        Duration wait = LOAD_SHEDDING_RULE.maxWait(target, exchange.timing().cameLate(), outage);
        return exchange.timing().receivedAt().plus(wait);
    }

    // True if no upstream takes requests before the wait of a request ends.
    private static boolean isHopeless(Instant availableAt, Instant waitEnd, Instant now) {
        return availableAt.isAfter(now) && !availableAt.isBefore(waitEnd);
    }

    // A request whose latency target has passed ranks behind those that can still meet theirs.
    private static WaitQueue.Rank rank(Exchange exchange, Instant now) {
        return new WaitQueue.Rank(exchange.authorized().priority(), exchange.isLate(now));
    }

    // Sends waiting requests while upstreams have capacity, and refuses those whose wait has ended
    // or would end before an upstream takes requests again.
    private void scan() {
        Instant now = clock.instant();
        for (Exchange e :
                queue.dispatch(
                        Exchange::isCompleted,
                        x -> trySend(x, now) || refuseHopeless(x, now),
                        now)) {
            refuse(e, now);
        }
        scheduleNextScan();
    }

    private boolean trySend(Exchange exchange, Instant now) {
        boolean sent = exchange.trySend(now);
        if (sent) {
            availability(exchange).record(true, now);
        }
        return sent;
    }

    private boolean refuseHopeless(Exchange exchange, Instant now) {
        Instant waitEnd = waitEnd(exchange, Optional.empty());
        Optional<Instant> availableAt = exchange.choice().availableAt(now);
        boolean hopeless =
                !exchange.stream().started()
                        && availableAt.filter(t -> isHopeless(t, waitEnd, now)).isPresent();
        if (hopeless) {
            availability(exchange).record(false, now);
            refuse(exchange, now);
        }
        return hopeless;
    }

    private void refuse(Exchange exchange, Instant now) {
        exchange.endUnanswered(
                outage(exchange, now).isEmpty() ? NO_CAPACITY_REASON : unavailableReason(exchange),
                retryAfter(exchange, now));
    }

    private static String unavailableReason(Exchange exchange) {
        return exchange.choice()
                .homes()
                .regions()
                .map(r -> UNAVAILABLE_REASON + " in its homes " + r)
                .orElse(UNAVAILABLE_REASON);
    }

    private Availability availability(Exchange exchange) {
        return availabilities.computeIfAbsent(exchange.choice().homes(), h -> new Availability());
    }

    private Optional<LoadSheddingRule.Outage> outage(Exchange exchange, Instant now) {
        return availability(exchange).outage(now);
    }

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
