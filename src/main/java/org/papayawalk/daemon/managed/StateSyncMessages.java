package org.papayawalk.daemon.managed;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.limit.LimitNotice;
import org.papayawalk.core.limit.UpstreamLimits;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.core.upstream.EngineNotice;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.wire.proto.EntryAddress;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.LostRun;
import org.papayawalk.wire.proto.RequestedWeights;
import org.papayawalk.wire.proto.TableChanges;
import org.papayawalk.wire.proto.TableMark;
import org.papayawalk.wire.proto.TableProof;
import org.papayawalk.wire.proto.TableRow;
import org.papayawalk.wire.proto.UpstreamLimit;
import org.papayawalk.wire.proto.ViewQuery;
import org.papayawalk.wire.proto.ViewReply;

/**
 * Encodes and decodes the messages by which daemons exchange table rows, addresses of entries,
 * crash evidence and limits of upstreams. Stateless.
 */
final class StateSyncMessages {
    /** Age from which a requested version no longer matters to the versions before it. */
    private static final Duration MAX_REQUEST_AGE = Duration.ofMinutes(1);

    private StateSyncMessages() {}

    /**
     * Adds the version of each local table replica to a query, so that the reply carries newer rows
     * only.
     *
     * @param query query under construction
     * @param state state of this daemon
     */
    static void addMarks(ViewQuery.Builder query, PlatformState state) {
        for (String table : state.tableNames()) {
            addMark(query, state, table);
        }
    }

    /**
     * Adds the version of one local table replica to a query.
     *
     * @param query query under construction
     * @param state state of this daemon
     * @param table name of the table
     */
    static void addMark(ViewQuery.Builder query, PlatformState state, String table) {
        TableVersion version = state.table(table).version();
        query.addMarks(
                TableMark.newBuilder()
                        .setTable(table)
                        .setEra(version.era().number())
                        .setVersion(version.number()));
    }

    /**
     * Adds the rows that are newer than the marks of a query to a reply.
     *
     * @param reply reply under construction
     * @param query query
     * @param state state of this daemon
     * @return true if there are newer rows, or if the sender has not read one of the tables yet
     */
    static boolean addChanges(ViewReply.Builder reply, ViewQuery query, PlatformState state) {
        boolean any = false;
        for (TableMark m : query.getMarksList()) {
            TableReplica replica = state.table(m.getTable());
            TableVersion mark = new TableVersion(new StoreEra(m.getEra()), m.getVersion());
            if (replica == null || replica.version().compareTo(mark) <= 0) {
                continue;
            }
            TableUpdate update = replica.updateSince(mark);
            any |= !update.rows().isEmpty() || update.snapshot() || mark.isUnread();
            TableChanges.Builder changes =
                    TableChanges.newBuilder()
                            .setTable(m.getTable())
                            .setAfter(m.getVersion())
                            .setEra(update.version().era().number())
                            .setVersion(update.version().number())
                            .setWhole(update.snapshot());
            update.rows().forEach(r -> changes.addRows(row(r)));
            reply.addChanges(changes);
        }
        return any;
    }

    /**
     * Applies the rows of a reply to the local table replicas.
     *
     * @param reply reply
     * @param state state of this daemon
     * @param peer address of the sender, for the log
     */
    static void apply(ViewReply reply, PlatformState state, String peer) {
        for (TableChanges c : reply.getChangesList()) {
            List<TableRecord> rows =
                    c.getRowsList().stream()
                            .map(
                                    r ->
                                            new TableRecord(
                                                    r.getKey(),
                                                    r.getValue().toByteArray(),
                                                    r.getVersion(),
                                                    r.getRemoved()))
                            .toList();
            TableVersion version = new TableVersion(new StoreEra(c.getEra()), c.getVersion());
            state.applyUpdate(
                    c.getTable(), new TableUpdate(rows, version, c.getWhole()), c.getAfter(), peer);
        }
    }

    /**
     * Encodes up to when the tables that a query asks for are complete. Leaves out those of which
     * nothing is proven.
     *
     * @param query query
     * @param state state of this daemon
     * @param now present time
     * @return one message per table
     */
    static List<TableProof> proofs(ViewQuery query, PlatformState state, Instant now) {
        List<TableProof> proofs = new ArrayList<>();
        for (TableMark m : query.getMarksList()) {
            TableReplica replica = state.table(m.getTable());
            if (replica == null || replica.completeUntil().equals(Instant.MIN)) {
                continue;
            }
            long age = Duration.between(replica.completeUntil(), now).toMillis();
            proofs.add(
                    TableProof.newBuilder()
                            .setTable(m.getTable())
                            .setEra(replica.version().era().number())
                            .setVersion(replica.version().number())
                            .setAgeMillis((int) Math.min(age, Integer.MAX_VALUE))
                            .build());
        }
        return proofs;
    }

    /**
     * Applies up to when the tables of a peer are complete, after its rows were applied.
     *
     * @param proofs messages
     * @param state state of this daemon
     * @param toldAt earliest time at which the peer may have sent them
     */
    static void applyProofs(List<TableProof> proofs, PlatformState state, Instant toldAt) {
        for (TableProof p : proofs) {
            long age = Integer.toUnsignedLong(p.getAgeMillis());
            state.proofs()
                    .record(
                            p.getTable(),
                            new TableVersion(new StoreEra(p.getEra()), p.getVersion()),
                            toldAt.minusMillis(age));
        }
    }

    /**
     * Encodes when the operator requested the versions of weights, so that a daemon that learns of
     * them late counts their deadlines from the same time. Versions whose time is unknown or long
     * past are left out.
     *
     * @param snapshot snapshot of this daemon
     * @param now present time
     * @return one message per version
     */
    static List<RequestedWeights> requestedWeights(PlatformSnapshot snapshot, Instant now) {
        Instant from = now.minus(MAX_REQUEST_AGE);
        List<RequestedWeights> messages = new ArrayList<>();
        snapshot.versions()
                .forEach(
                        (model, versions) ->
                                versions.stream()
                                        .filter(v -> v.receivedAt().isAfter(from))
                                        .map(v -> requestedWeights(model, v, now))
                                        .forEach(messages::add));
        return messages;
    }

    /**
     * Applies when the operator requested the versions of weights, as a peer tells it.
     *
     * @param messages messages
     * @param state state of this daemon
     * @param toldAt earliest time at which the peer may have sent them
     */
    static void apply(List<RequestedWeights> messages, PlatformState state, Instant toldAt) {
        for (RequestedWeights w : messages) {
            state.recordRequestedBy(
                    w.getModel(), w.getNumber(), toldAt.minusMillis(w.getAgeMillis()));
        }
    }

    private static RequestedWeights requestedWeights(
            String model, RequestedVersion version, Instant now) {
        return RequestedWeights.newBuilder()
                .setModel(model)
                .setNumber(version.number())
                .setAgeMillis((int) Duration.between(version.receivedAt(), now).toMillis())
                .build();
    }

    /**
     * Encodes the address and failure domain of an entry.
     *
     * @param address IP address and port
     * @param domain failure domain
     * @return message
     */
    static EntryAddress entryAddress(String address, DomainId domain) {
        return EntryAddress.newBuilder().setAddress(address).setDomain(domain.value()).build();
    }

    /**
     * Decodes the address and failure domain of an entry.
     *
     * @param message message
     * @return entry, empty if the message is malformed
     */
    static Optional<ListedEntry> listedEntry(EntryAddress message) {
        return ListedEntry.of(message.getAddress(), message.getDomain());
    }

    /**
     * Encodes the crash evidence: for each request, by its fingerprint, the upstream processes that
     * crashed while they ran it.
     *
     * @param suspects crash evidence of this daemon
     * @param now present time
     * @return one message per request
     */
    static List<LostRun> lostRuns(SuspectRegistry suspects, Instant now) {
        Map<String, Set<String>> evidence = suspects.evidence(now);
        return evidence.entrySet().stream()
                .map(
                        e ->
                                LostRun.newBuilder()
                                        .setFingerprint(e.getKey())
                                        .addAllUpstreams(e.getValue())
                                        .build())
                .toList();
    }

    /**
     * Adds the crash evidence of a peer. Idempotent: processes already recorded for a request are
     * skipped.
     *
     * @param runs messages
     * @param suspects crash evidence of this daemon
     * @param now present time
     */
    static void apply(List<LostRun> runs, SuspectRegistry suspects, Instant now) {
        for (LostRun r : runs) {
            Set<String> known = suspects.crashedProcesses(r.getFingerprint(), now);
            for (String process : r.getUpstreamsList()) {
                if (!known.contains(process)) {
                    suspects.recordCrash(r.getFingerprint(), process, now);
                }
            }
        }
    }

    /**
     * Encodes what upstreams lately stated of their limits to this entry.
     *
     * @param limits limits known to this daemon
     * @param now present time
     * @return one message per upstream process
     */
    static List<UpstreamLimit> limits(UpstreamLimits limits, Instant now) {
        return limits.notices(now).stream()
                .map(
                        n ->
                                UpstreamLimit.newBuilder()
                                        .setUpstream(n.process().id().value())
                                        .setIncarnation(n.process().incarnation())
                                        .setPerSecond(n.perSecond().orElse(0))
                                        .setEnded(n.perSecond().isEmpty())
                                        .setAgeMillis((int) n.age().toMillis())
                                        .build())
                .toList();
    }

    /**
     * Adds what upstreams stated of their limits to a peer. Leaves out what is malformed.
     *
     * @param notices messages
     * @param limits limits known to this daemon
     * @param now present time
     */
    static void apply(List<UpstreamLimit> notices, UpstreamLimits limits, Instant now) {
        limits.heard(
                notices.stream()
                        .filter(StateSyncMessages::isValid)
                        .map(StateSyncMessages::limit)
                        .toList(),
                now);
    }

    private static boolean isValid(UpstreamLimit notice) {
        boolean validRate =
                notice.getEnded()
                        || (Double.isFinite(notice.getPerSecond()) && notice.getPerSecond() >= 0);
        return validRate && !notice.getUpstream().isEmpty();
    }

    private static LimitNotice limit(UpstreamLimit notice) {
        return new LimitNotice(
                new UpstreamProcess(new UpstreamId(notice.getUpstream()), notice.getIncarnation()),
                notice.getEnded()
                        ? OptionalDouble.empty()
                        : OptionalDouble.of(notice.getPerSecond()),
                Duration.ofMillis(Integer.toUnsignedLong(notice.getAgeMillis())));
    }

    /**
     * Encodes what an agent tells of the engine beside it.
     *
     * @param notice notice
     * @return one-way message
     */
    static Envelope engineNotice(EngineNotice notice) {
        return Envelope.newBuilder()
                .setEngineNotice(
                        org.papayawalk.wire.proto.EngineNotice.newBuilder()
                                .setAddress(notice.address())
                                .setIncarnation(notice.incarnation())
                                .setModel(notice.model())
                                .setServed(notice.served())
                                .setLoading(notice.loading()))
                .build();
    }

    /**
     * Decodes what an agent tells of the engine beside it.
     *
     * @param message message with a notice
     * @return notice
     */
    static EngineNotice engineNotice(Envelope message) {
        org.papayawalk.wire.proto.EngineNotice n = message.getEngineNotice();
        return new EngineNotice(
                n.getAddress(), n.getIncarnation(), n.getModel(), n.getServed(), n.getLoading());
    }

    private static TableRow row(TableRecord row) {
        return TableRow.newBuilder()
                .setKey(row.key())
                .setValue(ByteString.copyFrom(row.value()))
                .setVersion(row.version())
                .setRemoved(row.removed())
                .build();
    }
}
