package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;

/**
 * Writes of chunks that an earlier process of this agent may have left open at the engine when it
 * was killed. The engine may execute them later, over a chunk of another version. Which version the
 * process was staging is read from what was staged and served when this process started. Immutable.
 *
 * @param found what was staged when this process started
 * @param servedAtStart number of the version that the engine served then, 0 for none
 * @param startedAt start of this process, after which no earlier one writes
 */
public record EarlierWrites(StagedAtStart found, int servedAtStart, Instant startedAt) {
    /** More than the longest time for which an engine was seen to hold a call, 9.4 s. */
    private static final Duration MAX_LIFETIME = Duration.ofSeconds(12);

    /**
     * Returns whether a write of the earlier process may still replace a chunk of a version by
     * other bytes.
     *
     * @param version manifest of the version
     * @param now present time
     * @return true if the version may be spoilt after it was verified
     */
    public boolean maySpoil(Manifest version, Instant now) {
        boolean idle = found.isEmpty() || found.isWhole();
        return !idle && !wroteOnly(version) && now.isBefore(startedAt.plus(MAX_LIFETIME));
    }

    // The version searched for was the next one after that served, which was loaded, so that the
    // earlier process wrote no version in between.
    private boolean wroteOnly(Manifest version) {
        int next = servedAtStart + 1;
        boolean searched = version.equals(found.searched());
        return searched && servedAtStart > 0 && Integer.parseInt(version.version()) == next;
    }
}
