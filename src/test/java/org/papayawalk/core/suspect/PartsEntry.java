package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.PromptPartId;

/** Entry of an emulation, with its own clock. Not thread-safe. */
final class PartsEntry {
    // Time without a sign of life after which an entry does not count as live.
    private static final Duration LIVE_FOR = Duration.ofSeconds(5);

    // Time after a fault in which an entry is excused.
    private static final Duration CONTACT = Duration.ofSeconds(3);

    /** Number of the entry. */
    final int index;

    /** Host of the entry. */
    final HostId host;

    /** Number of starts of its process. */
    int starts;

    /** When the process goes on, after a start or a freeze. */
    Instant pausedUntil = Instant.EPOCH;

    /** Whether no process runs until then. */
    boolean down;

    /** When it reaches other entries again. */
    Instant cutUntil = Instant.EPOCH;

    /** Time for which its clock has stood. */
    Duration frozenFor = Duration.ZERO;

    /** What its process knows. */
    PromptPartRegistry registry;

    private final Map<HostId, Instant> heardAt = new HashMap<>();

    /**
     * Creates an entry that runs.
     *
     * @param index number of the entry
     */
    PartsEntry(int index) {
        this.index = index;
        host = new HostId("10.0.0." + index);
        restart();
    }

    /** Starts a process that knows nothing. */
    void restart() {
        starts++;
        heardAt.clear();
        registry = new PromptPartRegistry(this::isFirstFor);
    }

    /**
     * Returns the time by the clock of the entry.
     *
     * @param now present time
     * @return time without that for which it stood
     */
    Instant clock(Instant now) {
        return now.minus(frozenFor);
    }

    /**
     * Returns whether it has had no fault for some time.
     *
     * @param now present time
     * @return true if what it does counts
     */
    boolean isInTouch(Instant now) {
        return !pausedUntil.plus(CONTACT).isAfter(now) && !cutUntil.plus(CONTACT).isAfter(now);
    }

    /**
     * Returns whether messages pass between it and other entries.
     *
     * @param now present time
     * @return false if it stands still or is cut off
     */
    boolean isReachable(Instant now) {
        return !pausedUntil.isAfter(now) && !cutUntil.isAfter(now);
    }

    /**
     * Notes a sign of life.
     *
     * @param other host of another entry
     * @param now present time
     */
    void heard(HostId other, Instant now) {
        heardAt.put(other, now);
        heardAt.values().removeIf(t -> t.plus(LIVE_FOR).isBefore(now));
    }

    private boolean isFirstFor(PromptPartId part) {
        Set<HostId> live = new HashSet<>(heardAt.keySet());
        live.remove(host);
        return RendezvousHash.rank(host, live, part.value()) == 0;
    }
}
