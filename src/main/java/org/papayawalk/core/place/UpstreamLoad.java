package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.call.ReportedLoad;

/**
 * Load and health of one upstream as measured by one entry. The load is the entry's own in-flight
 * requests plus those of others according to the last load report. Not thread-safe: confined to the
 * event loop thread.
 */
public final class UpstreamLoad {
    /** Weight of the newest outcome in the moving average of failures. */
    private static final double FAILURE_RATE_SMOOTHING = 0.12;

    /** Consecutive failures that pause the upstream; the request itself may cause a single one. */
    private static final int FAILURES_BEFORE_PAUSE = 2;

    /** First pause after consecutive failures; doubles with each further failure. */
    private static final Duration MIN_FAILURE_PAUSE = Duration.ofMillis(250);

    /** Longest pause after consecutive failures. */
    private static final Duration MAX_FAILURE_PAUSE = Duration.ofSeconds(3);

    /** Pause after the upstream refused a request; doubles with each consecutive refusal. */
    private static final Duration MIN_REFUSAL_PAUSE = Duration.ofMillis(150);

    /** Longest pause after consecutive refusals. */
    private static final Duration MAX_REFUSAL_PAUSE = Duration.ofMillis(600);

    /** Age at which a load report expires. */
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(5);

    /** In-flight requests of this entry. */
    private int ownInFlight;

    /** Prompts of this entry that are in prefill, in prompts of usual length. */
    private double pendingPrefill;

    /** Requests of others according to the last load report. */
    private int otherInFlight;

    /** In-flight requests of this entry that are not yet in a load report. */
    private int unreported;

    /** When the last load report was received. */
    private Instant reportedAt = Instant.MIN;

    private final ReportedPace pace = new ReportedPace();

    /** Whether a load report has stated another pace than the usual one. */
    private boolean paced;

    private int consecutiveFailures;
    private int consecutiveRefusals;

    /** Moving average of the outcomes, from 0 (no failures) to 1 (only failures). */
    private double failureRate;

    /** End of the present pause, in the past if there is none. */
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
     * Records that the prefill of a request is done, or that the request ended during prefill.
     *
     * @param prompt length of the prompt, in prompts of usual length
     */
    public void prefillEnded(double prompt) {
        pendingPrefill = Math.max(0, pendingPrefill - prompt);
    }

    /**
     * Records the end of a request that was sent.
     *
     * @param result result of the attempt
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
            case SERVER_ERROR -> {
                // A response, whatever its status, ends a row of connection failures.
                consecutiveFailures = 0;
                failureRate += FAILURE_RATE_SMOOTHING / 2 * (1 - failureRate);
            }
            case UNREACHABLE, BROKEN -> recordFailure(now);
            default -> {}
        }
    }

    /**
     * Records a load report that came with a response. The report includes the request of that
     * response.
     *
     * @param load reported load
     * @param now present time
     */
    public void loadReported(ReportedLoad load, Instant now) {
        otherInFlight = Math.max(0, load.total() - ownInFlight);
        unreported = 0;
        reportedAt = now;
        pace.reported(load.pacePercent(), now);
        paced |= load.pacePercent() != ReportedLoad.USUAL_PACE_PERCENT;
    }

    /**
     * Returns how long work is expected to take at the upstream.
     *
     * @param now present time
     * @return multiple of the usual time, 1 unless the upstream states another pace
     */
    public double pace(Instant now) {
        return pace.at(now);
    }

    /**
     * Returns whether the upstream shares its host with others.
     *
     * @return true once a load report has stated another pace than the usual one
     */
    public boolean isPaced() {
        return paced;
    }

    /** Records the start of a response that carries no load report. */
    public void responseStarted() {
        unreported = 0;
    }

    /**
     * Excludes the upstream from placement for a while. Never shortens a pause.
     *
     * @param until end of the pause
     */
    public void pauseUntil(Instant until) {
        pausedUntil = later(pausedUntil, until);
    }

    /**
     * Returns whether the upstream may be selected for a request.
     *
     * @param now present time
     * @return false during a pause
     */
    public boolean isSelectable(Instant now) {
        return !pausedUntil.isAfter(now);
    }

    /**
     * Returns the estimated in-flight requests of the upstream from all entries.
     *
     * @param now present time
     * @return number of requests; only those of this entry if the last load report has expired
     */
    public int expectedInFlight(Instant now) {
        boolean fresh = reportedAt.plus(MAX_REPORT_AGE).isAfter(now);
        return ownInFlight + (fresh ? otherInFlight : 0);
    }

    /**
     * Returns the in-flight requests of this entry that are not yet in a load report.
     *
     * @return number of requests
     */
    public int unreported() {
        return unreported;
    }

    /**
     * Returns the prompts of this entry that are in prefill.
     *
     * @return sum of their lengths, in prompts of usual length
     */
    public double pendingPrefill() {
        return pendingPrefill;
    }

    /**
     * Returns the in-flight requests of this entry.
     *
     * @return number of requests
     */
    public int ownInFlight() {
        return ownInFlight;
    }

    /**
     * Returns the moving average of failures. A server error counts half as much as a failure of
     * the connection; refusals and cancellations do not count.
     *
     * @return 0 (no failures) to 1 (only failures)
     */
    public double failureRate() {
        return failureRate;
    }

    // An upstream that loads weights refuses requests for a second or two.
    private void recordRefusal(Instant now) {
        long millis = MIN_REFUSAL_PAUSE.toMillis() << Math.min(consecutiveRefusals, 4);
        consecutiveRefusals++;
        Duration pause = Duration.ofMillis(Math.min(millis, MAX_REFUSAL_PAUSE.toMillis()));
        pausedUntil = later(pausedUntil, now.plus(pause));
    }

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

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }
}
