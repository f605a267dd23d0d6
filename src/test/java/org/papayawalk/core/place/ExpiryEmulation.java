package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Emulates one entry that sends requests to engines of one failure domain while the version of
 * their weights expires, on virtual time. Messages to the engines take longer and longer for a
 * while. Engines begin a request after a random wait, unless its withdrawal arrived before. Not
 * thread-safe.
 */
final class ExpiryEmulation {
    /** Time after which the old version has expired. */
    static final Duration DEADLINE = Duration.ofMillis(8000);

    private static final String DOMAIN = "luzon-a";

    private static final Duration RECENCY = Duration.ofMillis(300);

    private static final int STEP_MILLIS = 5;

    private static final int BASE_DELAY_MILLIS = 5;

    private static final int MAX_QUEUE_MILLIS = 600;

    private static final int MIN_PREFILL_MILLIS = 20;

    private static final int MAX_PREFILL_MILLIS = 200;

    // Warm-up before the new version is requested.
    private static final int START_MILLIS = -4000;

    private static final Instant REQUESTED_AT = Instant.parse("2026-01-01T00:00:00Z");

    private static final List<RequestedVersion> REQUESTED =
            List.of(new RequestedVersion(2, REQUESTED_AT));

    private final SplittableRandom random;

    private final MinimumVersionRule rule = new MinimumVersionRule(DEADLINE);

    private final ResponseDelays<String> delays = new ResponseDelays<>(RECENCY);

    private final List<Request> open = new ArrayList<>();

    private final int meanPauseMillis;

    private final int jamFrom;

    private final double jamRise;

    private final int jamMaxMillis;

    private int now = START_MILLIS;

    private int lastArrival = START_MILLIS;

    private int lastSend = START_MILLIS;

    private int lastBegin = START_MILLIS;

    /**
     * Creates an emulation.
     *
     * @param seed seed of the times of requests
     * @param meanPauseMillis mean time between requests, in milliseconds
     * @param jamFrom when messages begin to take longer, in milliseconds after the request for the
     *     new version
     * @param jamRise by how much the delay grows in the time, from 0 to 1
     * @param jamMaxMillis delay at which it stops growing, in milliseconds
     */
    ExpiryEmulation(long seed, int meanPauseMillis, int jamFrom, double jamRise, int jamMaxMillis) {
        random = new SplittableRandom(seed);
        this.meanPauseMillis = meanPauseMillis;
        this.jamFrom = jamFrom;
        this.jamRise = jamRise;
        this.jamMaxMillis = jamMaxMillis;
    }

    /** Runs until no request is left that may begin. */
    void run() {
        int end = 2 * (int) DEADLINE.toMillis();
        for (; now < end; now += STEP_MILLIS) {
            open.removeIf(this::advance);
            if (random.nextInt(meanPauseMillis) < STEP_MILLIS && oldVersionMayAnswer()) {
                send();
            }
        }
    }

    /**
     * Returns when the last request began.
     *
     * @return milliseconds after the request for the new version
     */
    int lastBegin() {
        return lastBegin;
    }

    /**
     * Returns when the last request was sent.
     *
     * @return milliseconds after the request for the new version
     */
    int lastSend() {
        return lastSend;
    }

    private boolean oldVersionMayAnswer() {
        return now < 0 || rule.lowestAllowed(REQUESTED, estimate(), time()).isEmpty();
    }

    private void send() {
        lastArrival = Math.max(lastArrival, now + delayMillis());
        int begin = lastArrival + random.nextInt(MAX_QUEUE_MILLIS);
        int answer = begin + random.nextInt(MIN_PREFILL_MILLIS, MAX_PREFILL_MILLIS);
        open.add(new Request(delays.sent(DOMAIN, time()), begin, answer + BASE_DELAY_MILLIS));
        lastSend = now;
    }

    // Returns true once nothing further can happen to a request.
    private boolean advance(Request request) {
        if (request.withdrawalArrives <= Math.min(now, request.begin)) {
            return true;
        }
        if (request.begin <= now) {
            lastBegin = Math.max(lastBegin, request.begin);
        }
        if (request.answer <= now && !request.withdrawn()) {
            delays.answered(DOMAIN, request.message, time());
            return true;
        }
        boolean expired =
                now >= 0
                        && !rule.withdrawAt(REQUESTED, 1, estimate()).orElseThrow().isAfter(time());
        if (expired && !request.withdrawn()) {
            delays.ended(request.message, time());
            lastArrival = Math.max(lastArrival, now + delayMillis());
            request.withdrawalArrives = lastArrival;
        }
        return request.withdrawn() && request.begin <= now;
    }

    private int delayMillis() {
        int rise = (int) (jamRise * Math.max(0, now - jamFrom));
        return BASE_DELAY_MILLIS + Math.min(jamMaxMillis, rise);
    }

    private Duration estimate() {
        return delays.estimate(DOMAIN, time());
    }

    private Instant time() {
        return REQUESTED_AT.plusMillis(now);
    }

    /** Request whose answer has not arrived. */
    private static final class Request {
        private final ResponseDelays.Sent message;

        private final int begin;

        private final int answer;

        private int withdrawalArrives = Integer.MAX_VALUE;

        Request(ResponseDelays.Sent message, int begin, int answer) {
            this.message = message;
            this.begin = begin;
            this.answer = answer;
        }

        boolean withdrawn() {
            return withdrawalArrives < Integer.MAX_VALUE;
        }
    }
}
