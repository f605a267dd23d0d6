package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.RequestedVersions;
import org.papayawalk.core.upstream.EngineNotice;
import org.papayawalk.core.upstream.EngineNotices;
import org.papayawalk.core.upstream.StoreClock;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.core.upstream.UpstreamTracker;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.log.Event;
import org.papayawalk.platform.DecodedDesiredState;
import org.papayawalk.platform.DesiredStateCodec;
import org.papayawalk.platform.StoreCodec;
import org.papayawalk.platform.UpstreamRegistrationCodec;

/**
 * Replicas of the platform's tables and the {@link PlatformSnapshot} derived from them. The
 * versions of the desired state in force and of the requested weights never decrease, also if the
 * store is restored from an older copy. Confined to the control thread, except {@link #snapshot()},
 * which may be called from any thread.
 */
public final class PlatformState {
    private final Map<String, TableReplica> tables = new HashMap<>();

    private final TableProofs proofs = new TableProofs(tables);

    private final UpstreamTracker upstreams = new UpstreamTracker();

    private final EngineNotices engines = new EngineNotices();

    private final RequestedVersions versions = new RequestedVersions();

    private final Evacuations evacuations = new Evacuations();

    private final List<Consumer<PlatformSnapshot>> listeners = new ArrayList<>();

    private final StoreClock storeClock = new StoreClock();

    private final InstantSource clock;

    private final ControlThread thread;

    private final StoreHealth storeHealth;

    private volatile PlatformSnapshot snapshot = PlatformSnapshot.EMPTY;

    /**
     * Creates a state with empty tables.
     *
     * @param clock monotonic clock
     * @param thread control thread
     */
    public PlatformState(InstantSource clock, ControlThread thread) {
        this.clock = clock;
        this.thread = thread;
        this.storeHealth = new StoreHealth(upstreams, clock);
        tables.put(StoreCodec.OPERATOR_TABLE, new TableReplica());
        tables.put(StoreCodec.SERVER_TABLE, new TableReplica());
    }

    /**
     * Returns the present snapshot.
     *
     * @return snapshot, {@link PlatformSnapshot#EMPTY} before the first table is read
     */
    public PlatformSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Adds a listener that receives each new snapshot on the control thread.
     *
     * @param listener listener
     */
    public void addListener(Consumer<PlatformSnapshot> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the record of the times until which the tables have every change.
     *
     * @return record, confined to the control thread
     */
    public TableProofs proofs() {
        return proofs;
    }

    /**
     * Returns the names of the tables that this daemon follows.
     *
     * @return names
     */
    Iterable<String> tableNames() {
        return tables.keySet();
    }

    /**
     * Returns the replica of a table.
     *
     * @param table name of the table
     * @return replica, null if the daemon does not follow the table
     */
    TableReplica table(String table) {
        return tables.get(table);
    }

    /**
     * Returns the record of the failures of the store.
     *
     * @return record, confined to the control thread
     */
    StoreHealth storeHealth() {
        return storeHealth;
    }

    /**
     * Records what an agent tells of the engine beside it. Publishes a snapshot if that is new, and
     * again when an announced load should have ended.
     *
     * @param notice notice
     */
    void recordEngineNotice(EngineNotice notice) {
        if (!engines.record(notice, clock.instant())) {
            return;
        }
        Event.named("engine-notice")
                .with("address", notice.address())
                .with("served", notice.served())
                .with("loading", notice.loading())
                .info();
        publishSnapshot();
        if (notice.loading() > 0) {
            thread.schedule(EngineNotices.MAX_LOADING_TIME, this::publishSnapshot);
        }
    }

    /**
     * Applies rows of a table. Publishes a snapshot if a row changed or if this was the first
     * reading. Ignores tables that this daemon does not follow.
     *
     * @param table name of the table
     * @param update rows read
     * @param after version after which the update has every change
     * @param source where the rows come from, for the log
     */
    void applyUpdate(String table, TableUpdate update, long after, String source) {
        TableReplica replica = tables.get(table);
        if (replica == null) {
            return;
        }
        Instant now = clock.instant();
        Instant toldAt =
                update.storeMillis().isPresent()
                        ? storeClock.convert(update.storeMillis().getAsLong(), now)
                        : now;
        TableVersion before = replica.version();
        boolean initial = before.isUnread();
        List<TableRecord> changed = replica.apply(update, after);
        if (!initial && replica.version().era().isAfter(before.era())) {
            recordRestore(table, before, replica.version());
        }
        if (changed.isEmpty() && !initial) {
            return;
        }
        for (TableRecord r : changed) {
            applyRow(table, r, initial ? Instant.MIN : toldAt, source);
        }
        publishSnapshot();
    }

    // A row that cannot be applied does not keep the rows after it from being applied, since the
    // replica delivers each change once.
    private void applyRow(String table, TableRecord row, Instant writtenBy, String source) {
        try {
            if (table.equals(StoreCodec.SERVER_TABLE)) {
                applyServerRow(row);
            } else {
                applyOperatorRow(row, writtenBy, source);
            }
        } catch (RuntimeException e) {
            Event.named("row-failed").with("table", table).with("key", row.key()).error(e);
        }
    }

    // The store was restored from an older copy: it may lack rows that will be written again, and
    // have rows that were removed.
    private void recordRestore(String table, TableVersion before, TableVersion restored) {
        if (table.equals(StoreCodec.SERVER_TABLE)) {
            upstreams.storeRestored(clock.instant());
            thread.schedule(UpstreamTracker.RESTORED_ROW_DOUBT, this::admitDoubtedUpstreams);
        }
        Event.named("store-restored")
                .with("table", table)
                .with("before", before)
                .with("version", restored)
                .warn();
    }

    // Admits the upstreams whose rows a restore brought back and that still exist.
    private void admitDoubtedUpstreams() {
        List<UpstreamId> admitted = upstreams.admitDoubted(clock.instant());
        if (!admitted.isEmpty()) {
            Event.named("upstreams-admitted").with("upstreams", admitted).info();
            publishSnapshot();
        }
    }

    private void applyServerRow(TableRecord row) {
        Optional<UpstreamId> usableId = UpstreamRegistrationCodec.decodeId(row.key());
        if (usableId.isEmpty()) {
            Event.named("upstream-unreadable").with("upstream", row.key()).warn();
            return;
        }
        UpstreamId id = usableId.get();
        if (row.removed()) {
            removeUpstream(id);
            Event.named("upstream-removed").with("upstream", id).info();
            return;
        }
        Optional<UpstreamRegistration> registration =
                UpstreamRegistrationCodec.decode(id, row.value(), Instant.now(), clock.instant());
        if (registration.isEmpty()) {
            removeUpstream(id);
            Event.named("upstream-unreadable").with("upstream", id).warn();
            return;
        }
        upstreams.put(registration.get(), clock.instant());
        Event.named("upstream-entry")
                .with("upstream", id)
                .with("address", registration.get().address())
                .with("service", registration.get().service())
                .with("draining", registration.get().draining())
                .with("models", registration.get().models())
                .with("cold_ms", coldMillis(registration.get()))
                .with("row", row.version())
                .info();
    }

    private long coldMillis(UpstreamRegistration registration) {
        Instant now = clock.instant();
        return registration.isCold(now)
                ? Duration.between(now, registration.coldUntil()).toMillis()
                : 0;
    }

    private void removeUpstream(UpstreamId id) {
        upstreams.remove(id, clock.instant());
        upstreams
                .nextExpiry()
                .ifPresent(
                        t ->
                                thread.schedule(
                                        UpstreamTracker.EXPIRY_GRACE, this::expireLapsedUpstreams));
    }

    // Removes upstreams whose registrations lapsed in an outage of the store and were not renewed.
    private void expireLapsedUpstreams() {
        List<UpstreamId> expired = upstreams.expire(clock.instant());
        if (!expired.isEmpty()) {
            Event.named("upstreams-given-up").with("upstreams", expired).info();
            publishSnapshot();
        }
    }

    // writtenBy: time by which the row was written, Instant.MIN if it existed when this daemon
    // first read the table.
    private void applyOperatorRow(TableRecord row, Instant writtenBy, String source) {
        if (StoreCodec.isEvacuationKey(row.key())) {
            evacuations.apply(row, source);
            return;
        }
        if (row.removed()) {
            return;
        }
        try {
            if (row.key().equals(StoreCodec.DESIRED_STATE_KEY)) {
                adoptDesiredState(DesiredStateCodec.decode(row.value()), source);
            } else if (StoreCodec.isVersionKey(row.key())) {
                addVersion(
                        StoreCodec.modelOfVersionKey(row.key()),
                        StoreCodec.decodeVersionNumber(row.value()),
                        writtenBy,
                        source);
            }
        } catch (IOException e) {
            Event.named("operator-row-unreadable")
                    .with("key", row.key())
                    .with("source", source)
                    .with("reason", e.getMessage())
                    .warn();
        }
    }

    // Ignores a desired state that is not newer than the one in force.
    private void adoptDesiredState(DecodedDesiredState decoded, String source) {
        DesiredState desired = decoded.desired();
        long known = snapshot.desired().map(DesiredState::version).orElse(Long.MIN_VALUE);
        if (desired.version() <= known) {
            return;
        }
        snapshot =
                new PlatformSnapshot(
                        Optional.of(desired),
                        snapshot.upstreams(),
                        snapshot.loading(),
                        snapshot.versions(),
                        snapshot.evacuated());
        Event.named("desired-state-in-force")
                .with("version", desired.version())
                .with("before", known == Long.MIN_VALUE ? "none" : known)
                .with("routes", desired.routes().size())
                .with("keys", desired.callersByKey().size())
                .with("source", source)
                .info();
        if (decoded.omittedCount() > 0) {
            Event.named("desired-state-parts-omitted")
                    .with("version", desired.version())
                    .with("count", decoded.omittedCount())
                    .with("first", decoded.omitted())
                    .warn();
        }
    }

    // Ignores a version that is not newer than the last one requested.
    private void addVersion(String model, int number, Instant requestedBy, String source) {
        if (!versions.add(model, number, requestedBy)) {
            return;
        }
        Event.named("weights-named")
                .with("model", model)
                .with("version", number)
                .with("source", source)
                .with(
                        "late_ms",
                        requestedBy.equals(Instant.MIN)
                                ? "unknown"
                                : Duration.between(requestedBy, clock.instant()).toMillis())
                .info();
    }

    /**
     * Records that the operator requested a known version of weights earlier than this daemon
     * assumes. No effect on a version that was requested before this daemon started.
     *
     * @param model name of the model
     * @param number number of the version
     * @param requestedBy time by which it was requested
     */
    void recordRequestedBy(String model, int number, Instant requestedBy) {
        if (versions.correctTime(model, number, requestedBy)) {
            publishSnapshot();
        }
    }

    private void publishSnapshot() {
        boolean serversRead = !tables.get(StoreCodec.SERVER_TABLE).version().isUnread();
        Map<ServiceId, List<UpstreamRegistration>> byService = new HashMap<>();
        Set<UpstreamId> loading = new HashSet<>();
        Instant now = clock.instant();
        for (UpstreamRegistration registered : upstreams.usable()) {
            UpstreamRegistration r = engines.merge(registered);
            byService.computeIfAbsent(r.service(), s -> new ArrayList<>()).add(r);
            if (engines.isLoading(r, now)) {
                loading.add(r.id());
            }
        }
        snapshot =
                new PlatformSnapshot(
                        snapshot.desired(),
                        serversRead ? Optional.of(byService) : Optional.empty(),
                        Set.copyOf(loading),
                        versions.byModel(),
                        evacuations.domains());
        listeners.forEach(l -> l.accept(snapshot));
    }
}
