package org.papayawalk.lab.burst;

import org.papayawalk.core.id.Digest;

/** Moments of a burst, from the acceptance of the version. Not thread-safe. */
final class Milestones {
    /** Time between lines of progress, in seconds. */
    private static final double PROGRESS_SECONDS = 2;

    /** Settings. */
    private final BurstSettings settings;

    /** Start, in nanoseconds. */
    private final long startNanos = System.nanoTime();

    /** When all survivors held the version, -1 before. */
    private double copySeconds = -1;

    /** When half of the hosts served it, -1 before. */
    private double halfSeconds = -1;

    /** When 90% of the hosts served it, -1 before. */
    private double ninetySeconds = -1;

    /** When all survivors served it, -1 before. */
    private double allSeconds = -1;

    /** When the last line of progress was printed. */
    private double lastProgress;

    /**
     * Starts the clock.
     *
     * @param settings settings
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
     * Takes a look at the hosts.
     *
     * @param cluster hosts
     * @param digest version
     */
    void look(BurstCluster cluster, Digest digest) {
        double now = seconds();
        long holding = cluster.holding(digest);
        long serving = cluster.serving(digest);
        long alive = cluster.alive();
        if (copySeconds < 0 && holding >= alive) {
            copySeconds = now;
        }
        if (halfSeconds < 0 && serving * 2 >= settings.hosts()) {
            halfSeconds = now;
        }
        if (ninetySeconds < 0 && serving * 10 >= settings.hosts() * 9L) {
            ninetySeconds = now;
        }
        if (allSeconds < 0 && serving >= alive) {
            allSeconds = now;
        }
        if (now - lastProgress > PROGRESS_SECONDS) {
            lastProgress = now;
            String line = "%.1f s share=%.3f holding=%d serving=%d";
            BurstExperiment.note(line.formatted(now, cluster.meanShare(), holding, serving));
        }
    }

    /**
     * Tells whether all survivors serve the version.
     *
     * @return true if they do
     */
    boolean done() {
        return allSeconds >= 0;
    }

    /**
     * Returns when all survivors held the version.
     *
     * @return seconds, -1 before
     */
    double copySeconds() {
        return copySeconds;
    }

    /**
     * Returns when half of the hosts served it.
     *
     * @return seconds, -1 before
     */
    double halfSeconds() {
        return halfSeconds;
    }

    /**
     * Returns when 90% of the hosts served it.
     *
     * @return seconds, -1 before
     */
    double ninetySeconds() {
        return ninetySeconds;
    }

    /**
     * Returns when all survivors served it.
     *
     * @return seconds, -1 before
     */
    double allSeconds() {
        return allSeconds;
    }
}
