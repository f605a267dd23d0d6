package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.call.ReportedLoad;

/**
 * Load and health of one upstream as one entry sees them. The load is the entry's own requests plus
 * what the upstream last reported beyond them. Not thread-safe: confined to the traffic thread.
 */
public final class UpstreamLoad {
    /** Weight of the newest outcome in the share of failures. */
    private static final double FAILURE_RATE_SMOOTHING = 0.12;

    /** Failures in a row after which an upstream is left alone; one may be the request's own. */
    private static final int FAILURES_BEFORE_PAUSE = 2;

    /** Shortest pause after failures in a row. */
    private static final Duration MIN_FAILURE_PAUSE = Duration.ofMillis(250);

    /** Longest pause after failures in a row. */
    private static final Duration MAX_FAILURE_PAUSE = Duration.ofSeconds(3);

    /** Pause after the upstream refused a request; doubled each time in a row. */
    private static final Duration MIN_REFUSAL_PAUSE = Duration.ofMillis(150);

    /** Longest pause after refusals in a row. */
    private static final Duration MAX_REFUSAL_PAUSE = Duration.ofMillis(600);

    /** Time after which a report of load no longer counts. */
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(5);

    /** Requests of this entry that have not ended. */
    private int ownInFlight;

    /** Prompts of this entry that are still being read, in prompts of usual length. */
    private double pendingPrefill;

    /** Requests beyond the own ones, by the last report. */
    private int otherInFlight;

    /** Requests sent since the last report. */
    private int unreported;

    /** When the last report came. */
    private Instant reportedAt = Instant.MIN;

    /** Failures in a row. */
    private int consecutiveFailures;

    /** Refusals in a row. */
    private int consecutiveRefusals;

    /** Share of failures among the latest outcomes, 0 to 1. */
    private double failureRate;

    /** Time before which the upstream takes no request. */
    private Instant pausedUntil = Instant.MIN;

    /**
     * Records that a request is sent.
     *
     * @param prompt length of its prompt, in prompts of usual length
     */
    public void sent(double prompt) {
        ownInFlight++;
        unreported++;
        pendingPrefill += prompt;
    }

    /**
     * Records that the prompt of a request was read, or that the request ended before that.
     *
     * @param prompt length of the prompt, in prompts of usual length
     */
    public void prefillEnded(double prompt) {
        pendingPrefill = Math.max(0, pendingPrefill - prompt);
    }

    /**
     * Records the end of a request that was sent.
     *
     * @param result how it ended
     * @param now present time
     */
    public void ended(AttemptResult result, Instant now) {
        ownInFlight--;
        unreported = Math.min(unreported, ownInFlight);
        switch (result) {
            case ANSWERED -> {
                consecutiveFailures = 0;
                consecutiveRefusals = 0;
                failureRate *= 1 - FAILURE_RATE_SMOOTHING;
            }
            case REFUSED -> recordRefusal(now);
            case SERVER_ERROR -> failureRate += FAILURE_RATE_SMOOTHING / 2 * (1 - failureRate);
            case UNREACHABLE, BROKEN -> recordFailure(now);
            default -> {}
        }
    }

    /**
     * Takes a report of load. It includes the request that it answers.
     *
     * @param load load reported
     * @param now present time
     */
    public void loadReported(ReportedLoad load, Instant now) {
        otherInFlight = Math.max(0, load.total() - ownInFlight);
        unreported = 0;
        reportedAt = now;
    }

    /** Takes the beginning of an answer that tells no load. */
    public void responseStarted() {
        unreported = 0;
    }

    /**
     * Keeps the upstream from taking requests for a while.
     *
     * @param until time at which it may take requests again
     */
    public void pauseUntil(Instant until) {
        pausedUntil = later(pausedUntil, until);
    }

    /**
     * Tells whether the upstream may take a request.
     *
     * @param now present time
     * @return false during a pause
     */
    public boolean isSelectable(Instant now) {
        return !pausedUntil.isAfter(now);
    }

    /**
     * Returns the requests that the upstream is expected to have.
     *
     * @param now present time
     * @return number of requests
     */
    public int expectedInFlight(Instant now) {
        boolean fresh = reportedAt.plus(MAX_REPORT_AGE).isAfter(now);
        return ownInFlight + (fresh ? otherInFlight : 0);
    }

    /**
     * Returns the requests under way that were sent since the last report.
     *
     * @return number of requests
     */
    public int unreported() {
        return unreported;
    }

    /**
     * Returns the prompts of this entry that are still being read.
     *
     * @return sum of their lengths, in prompts of usual length
     */
    public double pendingPrefill() {
        return pendingPrefill;
    }

    /**
     * Returns the requests of this entry that have not ended.
     *
     * @return number of requests
     */
    public int ownInFlight() {
        return ownInFlight;
    }

    /**
     * Returns the share of failures among the latest outcomes.
     *
     * @return 0 to 1
     */
    public double failureRate() {
        return failureRate;
    }

    /**
     * Records a refusal. An upstream that loads weights refuses for a second or two.
     *
     * @param now present time
     */
    private void recordRefusal(Instant now) {
        long millis = MIN_REFUSAL_PAUSE.toMillis() << Math.min(consecutiveRefusals, 4);
        consecutiveRefusals++;
        Duration pause = Duration.ofMillis(Math.min(millis, MAX_REFUSAL_PAUSE.toMillis()));
        pausedUntil = later(pausedUntil, now.plus(pause));
    }

    /**
     * Records a failure of the connection.
     *
     * @param now present time
     */
    private void recordFailure(Instant now) {
        consecutiveFailures++;
        failureRate += FAILURE_RATE_SMOOTHING * (1 - failureRate);
        if (consecutiveFailures < FAILURES_BEFORE_PAUSE) {
            return;
        }
        long millis =
                MIN_FAILURE_PAUSE.toMillis()
                        << Math.min(consecutiveFailures - FAILURES_BEFORE_PAUSE, 6);
        Duration pause = Duration.ofMillis(Math.min(millis, MAX_FAILURE_PAUSE.toMillis()));
        pausedUntil = later(pausedUntil, now.plus(pause));
    }

    /**
     * Returns the later of two times.
     *
     * @param a time
     * @param b time
     * @return the later one
     */
    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }
}
