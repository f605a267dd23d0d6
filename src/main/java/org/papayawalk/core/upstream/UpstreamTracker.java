package org.papayawalk.core.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.UpstreamId;

/**
 * Decides which upstreams count as present. An entry that is removed while the store is well is
 * gone at once. Entries lapse during an outage of the store although their upstreams live; what
 * lapsed around an outage stays usable for a grace and is gone after it. A draining upstream never
 * becomes ready again in the same incarnation, nor by a late write of an earlier one. Not
 * thread-safe: confined to the control thread.
 */
public final class UpstreamTracker {
    /** Time that an entry which lapsed around an outage of the store is kept. */
    public static final Duration EXPIRY_GRACE = Duration.ofMillis(2200);

    /** Time after the end of an outage in which removals count as its consequence. */
    private static final Duration POST_OUTAGE_WINDOW = Duration.ofMillis(2200);

    /** Time for which the word of another daemon about the store counts. */
    private static final Duration STORE_HEALTH_VALIDITY = Duration.ofMillis(1200);

    /** Present upstreams. */
    private final Map<UpstreamId, UpstreamRegistration> registered = new HashMap<>();

    /** Starts and addresses of processes that announced their leaving, until they are removed. */
    private final Map<UpstreamId, Set<String>> drainedProcesses = new HashMap<>();

    /** When entries that lapsed around an outage are given up. */
    private final Map<UpstreamId, Instant> graceEnds = new HashMap<>();

    /** Until when removals count as the consequence of an outage. */
    private Instant outageWindowEnd = Instant.MIN;

    /** Until when the store is known to serve others, whatever it answers here. */
    private Instant storeHealthyUntil = Instant.MIN;

    /**
     * Records that the store did not answer.
     *
     * @param now present time
     */
    public void storeUnavailable(Instant now) {
        outageWindowEnd = now.plus(POST_OUTAGE_WINDOW);
    }

    /**
     * Records that the store has served another daemon without a failure for a while. It turns only
     * this daemon away then, and no entry lapses because of that.
     *
     * @param now present time
     */
    public void storeHealthyForPeers(Instant now) {
        storeHealthyUntil = now.plus(STORE_HEALTH_VALIDITY);
    }

    /**
     * Takes an entry.
     *
     * @param entry entry as registered
     */
    public void put(UpstreamRegistration entry) {
        UpstreamRegistration known = registered.get(entry.id());
        boolean leaving = known != null && known.draining();
        boolean late = leaving && entry.incarnation() < known.incarnation();
        Set<String> leftBefore =
                drainedProcesses.computeIfAbsent(entry.id(), id -> new HashSet<>());
        String process = entry.incarnation() + "/" + entry.address();
        if (late || (!entry.draining() && leftBefore.contains(process))) {
            return;
        }
        if (entry.draining()) {
            leftBefore.add(process);
        }
        graceEnds.remove(entry.id());
        registered.put(entry.id(), entry);
    }

    /**
     * Takes the removal of an entry.
     *
     * @param id name of the upstream
     * @param now present time
     */
    public void remove(UpstreamId id, Instant now) {
        UpstreamRegistration known = registered.get(id);
        boolean outage = now.isBefore(outageWindowEnd) && !now.isBefore(storeHealthyUntil);
        boolean doubtful = known != null && !known.draining() && outage;
        if (doubtful) {
            graceEnds.putIfAbsent(id, now.plus(EXPIRY_GRACE));
            return;
        }
        discard(id);
    }

    /**
     * Gives up entries whose grace is over.
     *
     * @param now present time
     * @return names of the upstreams given up
     */
    public List<UpstreamId> expire(Instant now) {
        List<UpstreamId> expired =
                graceEnds.entrySet().stream()
                        .filter(e -> !e.getValue().isAfter(now))
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(this::discard);
        return expired;
    }

    /**
     * Returns the time at which the next entry is given up.
     *
     * @return time, empty if no entry is in its grace
     */
    public Optional<Instant> nextExpiry() {
        return graceEnds.values().stream().min(Instant::compareTo);
    }

    /**
     * Returns the upstreams that may take new work.
     *
     * @return entries that are present and not draining
     */
    public List<UpstreamRegistration> usable() {
        List<UpstreamRegistration> usable = new ArrayList<>();
        for (UpstreamRegistration e : registered.values()) {
            if (!e.draining()) {
                usable.add(e);
            }
        }
        return usable;
    }

    /**
     * Forgets an upstream.
     *
     * @param id name of the upstream
     */
    private void discard(UpstreamId id) {
        graceEnds.remove(id);
        registered.remove(id);
        drainedProcesses.remove(id);
    }
}
