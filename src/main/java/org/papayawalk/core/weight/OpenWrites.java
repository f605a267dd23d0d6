package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.id.Digest;

/**
 * Writes of chunks to a staging area that were not answered. The engine may execute them at a later
 * time, over a chunk of another version. Holds only writes that are not too old. Thread-safe.
 */
public final class OpenWrites {
    /** More than the longest time for which an engine was seen to hold a call, 9.4 s. */
    private static final Duration MAX_LIFETIME = Duration.ofSeconds(12);

    private final List<Write> writes = new ArrayList<>();

    /** Writes of an earlier process, empty if it is known to have left none. */
    private Optional<EarlierWrites> earlier = Optional.empty();

    /**
     * Records a write without an answer.
     *
     * @param index index of the chunk
     * @param chunk digest of its bytes
     * @param now present time
     */
    public synchronized void add(int index, Digest chunk, Instant now) {
        removeOld(now);
        writes.add(new Write(index, chunk, now));
    }

    /**
     * Records what an earlier process may have left open, in place of what was recorded before.
     *
     * @param earlierWrites writes of that process
     */
    public synchronized void addEarlier(EarlierWrites earlierWrites) {
        earlier = Optional.of(earlierWrites);
    }

    /**
     * Returns whether a write may still replace a chunk of a version by other bytes.
     *
     * @param version manifest of the version
     * @param now present time
     * @return true if the version may be spoilt after it was verified
     */
    public synchronized boolean maySpoil(Manifest version, Instant now) {
        removeOld(now);
        return earlier.filter(e -> e.maySpoil(version, now)).isPresent()
                || writes.stream().anyMatch(w -> w.spoils(version));
    }

    /** Forgets all writes, because they end with the process of the engine. */
    public synchronized void engineRestarted() {
        writes.clear();
        earlier = Optional.empty();
    }

    private void removeOld(Instant now) {
        writes.removeIf(w -> w.at().plus(MAX_LIFETIME).isBefore(now));
    }

    /**
     * Write without an answer. Immutable.
     *
     * @param index index of the chunk
     * @param chunk digest of its bytes
     * @param at when the answer was given up
     */
    private record Write(int index, Digest chunk, Instant at) {
        private boolean spoils(Manifest version) {
            return index < version.chunkCount() && !version.chunks().get(index).equals(chunk);
        }
    }
}
