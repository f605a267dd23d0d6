package org.papayawalk.core.upstream;

import java.time.Duration;
import java.util.Optional;
import org.papayawalk.core.id.StoreEra;

/**
 * Decides when a daemon writes its own row to the store again. A store that is restored from an
 * older copy may have lost the row; every daemon then writes it once in the new era, at a random
 * moment within the given time, so that the writes do not arrive all at once. Not thread-safe:
 * confined to the control thread.
 */
public final class EraRenewal {
    private final Duration spread;

    /** Newest era seen in any answer of the store. */
    private StoreEra newest = StoreEra.INITIAL;

    /** Era in which the row was last acknowledged; empty until then. */
    private Optional<StoreEra> writtenIn = Optional.empty();

    /** Whether a write was scheduled that has not been acknowledged. */
    private boolean pending;

    /**
     * Creates a renewal for a row that was not written yet.
     *
     * @param spread time over which the daemons spread their writes
     */
    public EraRenewal(Duration spread) {
        this.spread = spread;
    }

    /**
     * Records the era of an answer of the store.
     *
     * @param era era stated by the answer
     * @param fraction random number from 0 to 1
     * @return delay of the write that is due, empty if none is or if one is scheduled already
     */
    public Optional<Duration> eraSeen(StoreEra era, double fraction) {
        newest = era.isAfter(newest) ? era : newest;
        boolean lost = writtenIn.filter(newest::isAfter).isPresent();
        if (!lost || pending) {
            return Optional.empty();
        }
        pending = true;
        return Optional.of(Duration.ofMillis((long) (spread.toMillis() * fraction)));
    }

    /**
     * Records that the store has acknowledged the row.
     *
     * @param era era stated by the acknowledgement
     */
    public void acknowledged(StoreEra era) {
        writtenIn = Optional.of(era);
        pending = false;
    }
}
