package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.core.upstream.UpstreamTracker;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.log.Event;
import org.papayawalk.platform.DesiredStateCodec;
import org.papayawalk.platform.StoreCodec;
import org.papayawalk.platform.UpstreamCodec;

/**
 * Turns the platform's tables into a {@link PlatformSnapshot}. The desired state in force never
 * goes back to a lower version. Changes on the control thread only; {@link #view()} may be called
 * from any thread.
 */
public final class PlatformState {
    /** Versions of one model that are remembered. */
    private static final int VERSIONS_KEPT = 16;

    /** Time without a failure after which the store counts as well for another daemon. */
    private static final Duration WELL_ELSEWHERE = Duration.ofSeconds(3);

    /** Copies of the tables by name. */
    private final Map<String, TableReplica> tables = new HashMap<>();

    /** Upstreams that are present. */
    private final UpstreamTracker book = new UpstreamTracker();

    /** Versions of each model's weights, the newest last. */
    private final Map<String, List<RequestedVersion>> versions = new HashMap<>();

    /** Told of each new view. */
    private final List<Consumer<PlatformSnapshot>> listeners = new ArrayList<>();

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Control thread. */
    private final ControlThread thread;

    /** When the store last failed to answer. */
    private Instant storeAwayAt;

    /** Present view. */
    private volatile PlatformSnapshot view = PlatformSnapshot.EMPTY;

    /**
     * Creates a state that knows nothing.
     *
     * @param clock clock that never jumps
     * @param thread control thread
     */
    public PlatformState(InstantSource clock, ControlThread thread) {
        this.clock = clock;
        this.thread = thread;
        this.storeAwayAt = clock.instant();
        tables.put(StoreCodec.OPERATOR_TABLE, new TableReplica());
        tables.put(StoreCodec.SERVER_TABLE, new TableReplica());
    }

    /**
     * Returns the present view.
     *
     * @return view
     */
    public PlatformSnapshot view() {
        return view;
    }

    /**
     * Adds a listener that is told of each new view on the control thread.
     *
     * @param listener listener
     */
    public void listen(Consumer<PlatformSnapshot> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the names of the tables.
     *
     * @return names
     */
    Iterable<String> tableNames() {
        return tables.keySet();
    }

    /**
     * Returns the copy of a table.
     *
     * @param table name of the table
     * @return copy, null if the table is not followed
     */
    TableReplica table(String table) {
        return tables.get(table);
    }

    /** Records that the store did not answer. */
    void storeAway() {
        storeAwayAt = clock.instant();
        book.storeUnavailable(storeAwayAt);
    }

    /**
     * Returns the time since the store last failed to answer.
     *
     * @return milliseconds, a day at the most
     */
    int storeWellMillis() {
        Duration well = Duration.between(storeAwayAt, clock.instant());
        return (int) Math.min(well.toMillis(), Duration.ofDays(1).toMillis());
    }

    /**
     * Takes the word of another daemon about the store.
     *
     * @param millis time since the store last failed to answer it
     */
    void storeWellElsewhere(int millis) {
        if (millis >= WELL_ELSEWHERE.toMillis()) {
            book.storeHealthyForPeers(clock.instant());
        }
    }

    /**
     * Takes rows of a table.
     *
     * @param table name of the table
     * @param batch rows read
     * @param after version after which the rows are complete
     * @param source where the rows come from, for the log
     */
    void read(String table, TableUpdate batch, long after, String source) {
        TableReplica copy = tables.get(table);
        if (copy == null) {
            return;
        }
        boolean first = copy.version() == 0;
        List<TableRecord> changed = copy.apply(batch, after);
        if (changed.isEmpty() && !first) {
            return;
        }
        for (TableRecord r : changed) {
            if (table.equals(StoreCodec.SERVER_TABLE)) {
                server(r);
            } else {
                operator(r, first, source);
            }
        }
        publish();
    }

    /**
     * Takes a row of a server.
     *
     * @param row row
     */
    private void server(TableRecord row) {
        UpstreamId id = new UpstreamId(row.key());
        if (row.removed()) {
            book.remove(id, clock.instant());
            Event.named("upstream-removed").with("upstream", id).info();
            book.nextExpiry()
                    .ifPresent(t -> thread.later(UpstreamTracker.EXPIRY_GRACE, this::expire));
            return;
        }
        Optional<UpstreamRegistration> entry = UpstreamCodec.decode(row.key(), row.value());
        if (entry.isEmpty()) {
            book.remove(id, clock.instant());
            Event.named("upstream-unreadable").with("upstream", id).warn();
            return;
        }
        book.put(entry.get());
        Event.named("upstream-entry")
                .with("upstream", id)
                .with("address", entry.get().address())
                .with("service", entry.get().service())
                .with("draining", entry.get().draining())
                .with("models", entry.get().models())
                .with("row", row.version())
                .info();
    }

    /** Gives up upstreams whose entries lapsed and did not come back. */
    private void expire() {
        List<UpstreamId> gone = book.expire(clock.instant());
        if (!gone.isEmpty()) {
            Event.named("upstreams-given-up").with("upstreams", gone).info();
            publish();
        }
    }

    /**
     * Takes a row of the operator.
     *
     * @param row row
     * @param first whether the row was there when this daemon first read the table
     * @param source where the row comes from, for the log
     */
    private void operator(TableRecord row, boolean first, String source) {
        if (row.removed()) {
            return;
        }
        try {
            if (row.key().equals(StoreCodec.DESIRED_STATE_KEY)) {
                adopt(DesiredStateCodec.decode(row.value()), source);
            } else if (StoreCodec.namesVersion(row.key())) {
                name(
                        StoreCodec.versionModel(row.key()),
                        StoreCodec.versionNumber(row.value()),
                        first,
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

    /**
     * Takes a desired state if it is newer than the one in force.
     *
     * @param desired desired state
     * @param source where it comes from
     */
    private void adopt(DesiredState desired, String source) {
        long known = view.desired().map(DesiredState::version).orElse(Long.MIN_VALUE);
        if (desired.version() <= known) {
            return;
        }
        view = new PlatformSnapshot(Optional.of(desired), view.upstreams(), view.versions());
        Event.named("desired-state-in-force")
                .with("version", desired.version())
                .with("before", known == Long.MIN_VALUE ? "none" : known)
                .with("routes", desired.routes().size())
                .with("keys", desired.callersByKey().size())
                .with("source", source)
                .info();
    }

    /**
     * Takes a version of weights if it is newer than the one known.
     *
     * @param model name of the model
     * @param number number of the version
     * @param first whether it was named before this daemon first read the table
     * @param source where it comes from
     */
    private void name(String model, int number, boolean first, String source) {
        List<RequestedVersion> known = versions.getOrDefault(model, List.of());
        if (!known.isEmpty() && known.get(known.size() - 1).number() >= number) {
            return;
        }
        Instant at = first ? Instant.MIN : clock.instant();
        List<RequestedVersion> named = new ArrayList<>(known);
        named.add(new RequestedVersion(number, at));
        int from = Math.max(0, named.size() - VERSIONS_KEPT);
        versions.put(model, List.copyOf(named.subList(from, named.size())));
        Event.named("weights-named")
                .with("model", model)
                .with("version", number)
                .with("source", source)
                .info();
    }

    /** Publishes the view. */
    private void publish() {
        boolean known = tables.get(StoreCodec.SERVER_TABLE).version() > 0;
        Map<ServiceId, List<UpstreamRegistration>> byService = new HashMap<>();
        for (UpstreamRegistration e : book.usable()) {
            byService.computeIfAbsent(e.service(), s -> new ArrayList<>()).add(e);
        }
        view =
                new PlatformSnapshot(
                        view.desired(),
                        known ? Optional.of(byService) : Optional.empty(),
                        Map.copyOf(versions));
        listeners.forEach(l -> l.accept(view));
    }
}
