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
    private static final Duration LOOK = Duration.ofMillis(20);

    /** Time that a stream waits for an upstream to continue it. */
    private static final Duration RESUME_LIMIT = Duration.ofMillis(700);

    /** Decides how long requests wait and when refused callers come back. */
    private static final LoadSheddingRule RULE = LoadSheddingRule.DEFAULT;

    /** Reason of a refusal while all upstreams are full. */
    private static final String NO_ROOM = "no upstream has room";

    /** Reason of a refusal while no upstream could answer. */
    private static final String NONE_ABLE = "no upstream can answer";

    /** Traffic thread. */
    private final EventLoop loop;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Source of the spread of returns. */
    private final RandomGenerator random;

    /** Requests that wait. */
    private final WaitQueue<Exchange> queue = new WaitQueue<>();

    /** Since when no upstream can answer; null if one can. */
    private Instant noneAbleSince;

    /** Whether a look for room is scheduled for at once. */
    private boolean lookNow;

    /** Whether a look for room is scheduled for later. */
    private boolean lookLater;

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
    void place(Exchange exchange, Instant now) {
        WaitQueue.Rank rank = rank(exchange, now);
        if (queue.precedesAll(rank) && send(exchange, now)) {
            return;
        }
        noteAble(exchange.someoneAble(now), now);
        Duration target = exchange.call().route().targetLatency();
        Instant until =
                exchange.stream().begun()
                        ? now.plus(RESUME_LIMIT)
                        : exchange.readAt().plus(RULE.maxWait(target, noneAbleFor(now)));
        if (!queue.offer(exchange, rank, until, now)) {
            refuse(exchange, now);
            return;
        }
        later();
    }

    /** Learns that an upstream may have room. */
    void roomMade() {
        if (!queue.isEmpty() && !lookNow) {
            lookNow = true;
            loop.execute(
                    () -> {
                        lookNow = false;
                        look();
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
        return RULE.retryAfter(
                exchange.call().route().targetLatency(),
                Duration.between(now, exchange.deadline()),
                noneAbleFor(now),
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
        return new WaitQueue.Rank(exchange.call().priority(), late && !exchange.stream().begun());
    }

    /** Looks for room for those that wait, and refuses those that have waited long enough. */
    private void look() {
        Instant now = clock.instant();
        for (Exchange e : queue.dispatch(Exchange::isOver, x -> send(x, now), now)) {
            refuse(e, now);
        }
        later();
    }

    /**
     * Sends a request if an upstream has room.
     *
     * @param exchange request
     * @param now present time
     * @return true if it was sent
     */
    private boolean send(Exchange exchange, Instant now) {
        boolean sent = exchange.trySend(now);
        if (sent) {
            noteAble(true, now);
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
        exchange.giveUp(noneAbleSince == null ? NO_ROOM : NONE_ABLE, retryAfter(exchange, now));
    }

    /**
     * Records whether an upstream could answer, if it had room.
     *
     * @param able whether one could
     * @param now present time
     */
    private void noteAble(boolean able, Instant now) {
        if (able) {
            noneAbleSince = null;
        } else if (noneAbleSince == null) {
            noneAbleSince = now;
        }
    }

    /**
     * Returns for how long no upstream could answer.
     *
     * @param now present time
     * @return time, empty if one can
     */
    private Optional<Duration> noneAbleFor(Instant now) {
        return Optional.ofNullable(noneAbleSince).map(t -> Duration.between(t, now));
    }

    /** Schedules the next look. */
    private void later() {
        if (queue.isEmpty() || lookLater) {
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
