package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.call.ReportedLoad;

/**
 * Estimates how long work takes at an upstream that shares its host with others, from the paces in
 * its load reports. A pace changes many times a second, so a report soon counts no more than the
 * mean of the reports before it. Not thread-safe: confined to the event loop thread.
 */
final class ReportedPace {
    /** Weight of the newest report in the moving average. */
    private static final double MEAN_SMOOTHING = 0.1;

    /** Age at which a report counts half as much as when it was received. */
    private static final Duration HALF_LIFE = Duration.ofMillis(150);

    /** Age at which nothing is known of the pace any more. */
    private static final Duration MAX_AGE = Duration.ofSeconds(5);

    private double last = 1;

    private double mean = 1;

    /** When the last report was received. */
    private Instant reportedAt = Instant.MIN;

    /**
     * Records a report.
     *
     * @param percent how long work takes, in percent of the usual time
     * @param now present time
     */
    void reported(int percent, Instant now) {
        last = (double) percent / ReportedLoad.USUAL_PACE_PERCENT;
        mean += MEAN_SMOOTHING * (last - mean);
        reportedAt = now;
    }

    /**
     * Returns the expected pace.
     *
     * @param now present time
     * @return multiple of the usual time that work takes; 1 if no recent report states another pace
     */
    double at(Instant now) {
        if (last == 1 && mean == 1) {
            return 1;
        }
        if (!reportedAt.plus(MAX_AGE).isAfter(now)) {
            return 1;
        }
        double halfLives =
                (double) Duration.between(reportedAt, now).toNanos() / HALF_LIFE.toNanos();
        return mean + (last - mean) * Math.pow(0.5, halfLives);
    }
}
