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
 * Tracks which registered upstreams may take new work. A registration that is removed while the
 * store is healthy takes effect at once. During an outage of the store, leases expire although
 * their upstreams still run; an upstream whose registration expires around an outage therefore
 * stays usable for a grace period. A draining upstream never becomes ready again in the same
 * incarnation, nor by a late write of an earlier incarnation. Not thread-safe: confined to the
 * control thread.
 */
public final class UpstreamTracker {
    /** Time for which a registration that expired around an outage of the store is kept. */
    public static final Duration EXPIRY_GRACE = Duration.ofMillis(2200);

    /** Time after an outage of the store during which removals are attributed to it. */
    private static final Duration POST_OUTAGE_WINDOW = Duration.ofMillis(2200);

    /** Validity of another daemon's report that the store is healthy. */
    private static final Duration STORE_HEALTH_VALIDITY = Duration.ofMillis(1200);

    /** Registrations in force, draining ones and those in their grace period included. */
    private final Map<UpstreamId, UpstreamRegistration> registered = new HashMap<>();

    /** Processes that announced their drain, as incarnation and address, until their removal. */
    private final Map<UpstreamId, Set<String>> drainingProcesses = new HashMap<>();

    /** End of the grace period of registrations that expired around an outage. */
    private final Map<UpstreamId, Instant> graceEnds = new HashMap<>();

    /** End of the time during which removals are attributed to an outage. */
    private Instant outageWindowEnd = Instant.MIN;

    /** Until when the store counts as healthy, also if it does not answer this daemon. */
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
     * Records that the store has answered another daemon without a failure for a while. The store
     * then fails only for this daemon, and no lease expires because of that.
     *
     * @param now present time
     */
    public void storeHealthyForPeers(Instant now) {
        storeHealthyUntil = now.plus(STORE_HEALTH_VALIDITY);
    }

    /**
     * Records a registration. Ignores a late write of an earlier incarnation of a draining upstream
     * and a ready state of a process that announced its drain.
     *
     * @param registration registration as read from the store
     */
    public void put(UpstreamRegistration registration) {
        UpstreamRegistration known = registered.get(registration.id());
        boolean draining = known != null && known.draining();
        boolean late = draining && registration.incarnation() < known.incarnation();
        Set<String> drained =
                drainingProcesses.computeIfAbsent(registration.id(), id -> new HashSet<>());
        String process = registration.incarnation() + "/" + registration.address();
        if (late || (!registration.draining() && drained.contains(process))) {
            return;
        }
        if (registration.draining()) {
            drained.add(process);
        }
        graceEnds.remove(registration.id());
        registered.put(registration.id(), registration);
    }

    /**
     * Records the removal of a registration. Around an outage, an upstream that was not draining
     * enters its grace period.
     *
     * @param id name of the upstream
     * @param now present time
     */
    public void remove(UpstreamId id, Instant now) {
        UpstreamRegistration known = registered.get(id);
        boolean outage = now.isBefore(outageWindowEnd) && !now.isBefore(storeHealthyUntil);
        boolean inGrace = known != null && !known.draining() && outage;
        if (inGrace) {
            graceEnds.putIfAbsent(id, now.plus(EXPIRY_GRACE));
            return;
        }
        discard(id);
    }

    /**
     * Removes the upstreams whose grace period has ended.
     *
     * @param now present time
     * @return names of the removed upstreams
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
     * Returns the end of the grace period that ends next.
     *
     * @return time, empty if no upstream is in its grace period
     */
    public Optional<Instant> nextExpiry() {
        return graceEnds.values().stream().min(Instant::compareTo);
    }

    /**
     * Returns the upstreams that may take new work.
     *
     * @return registrations in force that are not draining, in no particular order
     */
    public List<UpstreamRegistration> usable() {
        List<UpstreamRegistration> usable = new ArrayList<>();
        for (UpstreamRegistration r : registered.values()) {
            if (!r.draining()) {
                usable.add(r);
            }
        }
        return usable;
    }

    private void discard(UpstreamId id) {
        graceEnds.remove(id);
        registered.remove(id);
        drainingProcesses.remove(id);
    }
}
