package org.papayawalk.lab.burst;

import org.papayawalk.core.id.Digest;

/**
 * Times of the milestones of a distribution, from the acceptance of the version. Not thread-safe.
 */
final class Milestones {
    /** Interval between lines of progress, in seconds. */
    private static final double PROGRESS_SECONDS = 2;

    private final BurstSettings settings;

    /** Start of the distribution, by {@link System#nanoTime()}. */
    private final long startNanos = System.nanoTime();

    /** Time until all survivors held the version; -1 before. */
    private double copySeconds = -1;

    /** Time until half of all hosts served it; -1 before. */
    private double halfSeconds = -1;

    /** Time until 90% of all hosts served it; -1 before. */
    private double ninetySeconds = -1;

    /** Time until all survivors served it; -1 before. */
    private double allSeconds = -1;

    /** Time of the last line of progress. */
    private double lastProgressSeconds;

    /**
     * Starts the clock.
     *
     * @param settings settings of the experiment
     */
    Milestones(BurstSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns the time since the start.
     *
     * @return seconds
     */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /**
     * Records the milestones that have been reached and prints progress.
     *
     * @param cluster hosts
     * @param digest digest of the manifest
     */
    void update(BurstCluster cluster, Digest digest) {
        double now = seconds();
        long holding = cluster.holdingCount(digest);
        long serving = cluster.servingCount(digest);
        long survivors = cluster.runningCount();
        if (copySeconds < 0 && holding >= survivors) {
            copySeconds = now;
        }
        if (halfSeconds < 0 && serving * 2 >= settings.hosts()) {
            halfSeconds = now;
        }
        if (ninetySeconds < 0 && serving * 10 >= settings.hosts() * 9L) {
            ninetySeconds = now;
        }
        if (allSeconds < 0 && serving >= survivors) {
            allSeconds = now;
        }
        if (now - lastProgressSeconds > PROGRESS_SECONDS) {
            lastProgressSeconds = now;
            String line = "%.1f s share=%.3f holding=%d serving=%d";
            BurstExperiment.printProgress(
                    line.formatted(now, cluster.meanHeldShare(), holding, serving));
        }
    }

    /**
     * Tells whether all survivors serve the version.
     *
     * @return true once the last milestone is recorded
     */
    boolean isDone() {
        return allSeconds >= 0;
    }

    /**
     * Returns the time until all hosts that were not killed held the version.
     *
     * @return seconds, -1 if not reached
     */
    double copySeconds() {
        return copySeconds;
    }

    /**
     * Returns the time until half of all hosts, including killed ones, served the version.
     *
     * @return seconds, -1 if not reached
     */
    double halfSeconds() {
        return halfSeconds;
    }

    /**
     * Returns the time until 90% of all hosts, including killed ones, served the version.
     *
     * @return seconds, -1 if not reached
     */
    double ninetySeconds() {
        return ninetySeconds;
    }

    /**
     * Returns the time until all hosts that were not killed served the version.
     *
     * @return seconds, -1 if not reached
     */
    double allSeconds() {
        return allSeconds;
    }
}
