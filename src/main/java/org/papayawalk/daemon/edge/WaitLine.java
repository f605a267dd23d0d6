package org.papayawalk.daemon.edge;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.papayawalk.core.place.WaitRule;

/**
 * Requests of one service that wait until an upstream has room, the most urgent first and the
 * oldest first among equals. Confined to the traffic thread.
 */
final class WaitLine {
    /** Pause between looks for room that nothing announced. */
    private static final Duration LOOK = Duration.ofMillis(20);

    /** Time that a stream waits for an upstream to continue it. */
    private static final Duration RESUME_LIMIT = Duration.ofMillis(700);

    /** Requests that may wait at once. */
    private static final int MAX_WAITING = 512;

    /** Requests looked at behind one that finds no room. */
    private static final int MAX_PASSED_OVER = 4;

    /** Traffic thread. */
    private final EventLoop loop;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Source of the spread of returns. */
    private final RandomGenerator random;

    /** Requests that wait. */
    private final List<Waiting> waiting = new ArrayList<>();

    /** Whether a look for room is scheduled for at once. */
    private boolean lookNow;

    /** Whether a look for room is scheduled for later. */
    private boolean lookLater;

    /**
     * Request that waits. Immutable.
     *
     * @param exchange request
     * @param until when it stops waiting
     */
    private record Waiting(Exchange exchange, Instant until) {}

    /**
     * Creates a line.
     *
     * @param loop traffic thread
     * @param clock clock that never jumps
     * @param random source of the spread of returns
     */
    WaitLine(EventLoop loop, InstantSource clock, RandomGenerator random) {
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
    void place(Exchange exchange, Instant now) {
        boolean first = waiting.stream().noneMatch(w -> !before(exchange, w.exchange()));
        if (first && exchange.trySend(now)) {
            return;
        }
        Instant until =
                exchange.stream().begun()
                        ? now.plus(RESUME_LIMIT)
                        : exchange.readAt().plus(WaitRule.limit(exchange.call().route()));
        if (!until.isAfter(now) || waiting.size() >= MAX_WAITING) {
            exchange.giveUp("no upstream has room", retryAfter());
            return;
        }
        waiting.add(new Waiting(exchange, until));
        waiting.sort(Comparator.comparingInt(w -> w.exchange().call().priority()));
        later();
    }

    /** Learns that an upstream may have room. */
    void roomMade() {
        if (!waiting.isEmpty() && !lookNow) {
            lookNow = true;
            loop.execute(
                    () -> {
                        lookNow = false;
                        look();
                    });
        }
    }

    /**
     * Returns when a refused caller may come back.
     *
     * @return time from now
     */
    Duration retryAfter() {
        return WaitRule.retryAfter(random.nextDouble());
    }

    /**
     * Tells whether a request goes before another.
     *
     * @param a request
     * @param b request that waits
     * @return true if it is more urgent
     */
    private static boolean before(Exchange a, Exchange b) {
        return a.call().priority() < b.call().priority();
    }

    /** Looks for room for those that wait, and refuses those that have waited long enough. */
    private void look() {
        Instant now = clock.instant();
        int passedOver = 0;
        for (Waiting w : List.copyOf(waiting)) {
            if (w.exchange().isOver()) {
                waiting.remove(w);
            } else if (passedOver <= MAX_PASSED_OVER && w.exchange().trySend(now)) {
                waiting.remove(w);
            } else if (!w.until().isAfter(now)) {
                waiting.remove(w);
                w.exchange().giveUp("no upstream has room", retryAfter());
            } else {
                passedOver++;
            }
        }
        later();
    }

    /** Schedules the next look. */
    private void later() {
        if (waiting.isEmpty() || lookLater) {
            return;
        }
        lookLater = true;
        loop.schedule(
                () -> {
                    lookLater = false;
                    look();
                },
                LOOK.toMillis(),
                TimeUnit.MILLISECONDS);
    }
}
