package org.papayawalk.core.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
 * incarnation, nor by a late write of an earlier incarnation, also after its registration was
 * removed. A store that is restored from an older copy may lack registrations, which their
 * upstreams write again, and may have some that were removed; a process whose registration was
 * removed before takes work again only if its lease has been renewed since the restore. Not
 * thread-safe: confined to the control thread.
 */
public final class UpstreamTracker {
    /** Time for which a registration that expired around an outage of the store is kept. */
    public static final Duration EXPIRY_GRACE = Duration.ofMillis(2200);

    /**
     * Time after which a registration that a restore brought back belongs to a running process:
     * otherwise its lease of three heartbeats has expired.
     */
    public static final Duration RESTORED_ROW_DOUBT = Duration.ofMillis(5000);

    /** Bound on the remembered processes of each kind; the oldest are forgotten first. */
    private static final int MAX_REMEMBERED_PROCESSES = 4096;

    /** Time after an outage of the store during which removals are attributed to it. */
    private static final Duration POST_OUTAGE_WINDOW = Duration.ofMillis(2200);

    /** Validity of another daemon's report that the store is healthy. */
    private static final Duration STORE_HEALTH_VALIDITY = Duration.ofMillis(1200);

    /** Registrations in force, draining ones and those in their grace period included. */
    private final Map<UpstreamId, UpstreamRegistration> registered = new HashMap<>();

    /** Processes that announced their drain. */
    private final Set<UpstreamProcess> drained = boundedSet();

    /** Processes whose registration was removed, and not put again since. */
    private final Set<UpstreamProcess> removed = boundedSet();

    /** Registrations that a restore brought back, until the doubt about them ends. */
    private final Map<UpstreamId, UpstreamRegistration> doubted = new HashMap<>();

    /** End of the doubt about registrations that a restore brought back. */
    private Instant doubtEnd = Instant.MIN;

    /** End of the grace period of registrations that expired around an outage. */
    private final Map<UpstreamId, Instant> graceEnds = new HashMap<>();

    /** End of the time during which removals are attributed to an outage. */
    private Instant outageWindowEnd = Instant.MIN;

    /** End of the time during which removals are attributed to a restore. */
    private Instant restoreWindowEnd = Instant.MIN;

    /** Until when the store counts as healthy, also if it does not answer this daemon. */
    private Instant storeHealthyUntil = Instant.MIN;

    /**
     * Records that the store did not answer.
     *
     * @param at time of the failure, also one before the last one recorded
     */
    public void storeUnavailable(Instant at) {
        Instant end = at.plus(POST_OUTAGE_WINDOW);
        outageWindowEnd = end.isAfter(outageWindowEnd) ? end : outageWindowEnd;
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
     * Records that the store was restored from an older copy. Registrations may be missing until
     * their upstreams write them again, whatever other daemons say of the store.
     *
     * @param now present time
     */
    public void storeRestored(Instant now) {
        storeUnavailable(now);
        restoreWindowEnd = outageWindowEnd;
        doubtEnd = now.plus(RESTORED_ROW_DOUBT);
    }

    /**
     * Records a registration. Ignores a late write of an earlier incarnation of a draining upstream
     * and a ready state of a process that announced its drain. Holds back the registration of a
     * process that was removed or replaced, if a restore may have brought it back.
     *
     * @param registration registration as read from the store
     * @param now present time
     */
    public void put(UpstreamRegistration registration, Instant now) {
        UpstreamProcess process = UpstreamProcess.of(registration);
        UpstreamRegistration known = registered.get(registration.id());
        boolean draining = known != null && known.draining();
        boolean late = draining && registration.incarnation() < known.incarnation();
        if (registration.draining()) {
            drained.add(process);
        }
        if (late || (!registration.draining() && drained.contains(process))) {
            return;
        }
        boolean superseded = known != null && registration.incarnation() < known.incarnation();
        if (now.isBefore(doubtEnd) && (superseded || removed.contains(process))) {
            doubted.put(registration.id(), registration);
            return;
        }
        admit(registration);
    }

    /**
     * Admits the registrations that a restore brought back, once the doubt about them has ended.
     *
     * @param now present time
     * @return names of the admitted upstreams
     */
    public List<UpstreamId> admitDoubted(Instant now) {
        if (now.isBefore(doubtEnd)) {
            return List.of();
        }
        List<UpstreamRegistration> admitted = List.copyOf(doubted.values());
        admitted.forEach(this::admit);
        return admitted.stream().map(UpstreamRegistration::id).toList();
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
        boolean lapses = now.isBefore(outageWindowEnd) && !now.isBefore(storeHealthyUntil);
        boolean outage = lapses || now.isBefore(restoreWindowEnd);
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
     * Returns the upstreams that may take new work. An address belongs to the process that started
     * last: after a loss of power, the registrations of the processes before it remain until their
     * leases expire, but nobody answers for them.
     *
     * @return registrations in force that are not draining, in no particular order
     */
    public List<UpstreamRegistration> usable() {
        Map<String, Long> newest = new HashMap<>();
        for (UpstreamRegistration r : registered.values()) {
            newest.merge(r.address(), r.incarnation(), Math::max);
        }
        List<UpstreamRegistration> usable = new ArrayList<>();
        for (UpstreamRegistration r : registered.values()) {
            boolean replaced = r.incarnation() < newest.get(r.address());
            if (!r.draining() && !replaced) {
                usable.add(r);
            }
        }
        return usable;
    }

    private void admit(UpstreamRegistration registration) {
        doubted.remove(registration.id());
        graceEnds.remove(registration.id());
        removed.remove(UpstreamProcess.of(registration));
        registered.put(registration.id(), registration);
    }

    private void discard(UpstreamId id) {
        graceEnds.remove(id);
        doubted.remove(id);
        UpstreamRegistration known = registered.remove(id);
        if (known != null) {
            removed.add(UpstreamProcess.of(known));
            forgetUnidentified(known);
        }
    }

    // Without a start time, a process cannot be told from a later one at the same address.
    private void forgetUnidentified(UpstreamRegistration registration) {
        if (registration.incarnation() == 0) {
            drained.remove(UpstreamProcess.of(registration));
        }
    }

    private static Set<UpstreamProcess> boundedSet() {
        return Collections.newSetFromMap(
                new LinkedHashMap<>() {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<UpstreamProcess, Boolean> e) {
                        return size() > MAX_REMEMBERED_PROCESSES;
                    }
                });
    }

    /**
     * Process of an upstream. Immutable.
     *
     * @param id name under which it registered
     * @param incarnation start of the process
     * @param address IP address and port
     */
    private record UpstreamProcess(UpstreamId id, long incarnation, String address) {

        static UpstreamProcess of(UpstreamRegistration registration) {
            return new UpstreamProcess(
                    registration.id(), registration.incarnation(), registration.address());
        }
    }
}
