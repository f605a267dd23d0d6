package org.papayawalk.daemon.managed;

import com.google.protobuf.ByteString;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.wire.proto.EntryAddress;
import org.papayawalk.wire.proto.LostRun;
import org.papayawalk.wire.proto.TableChanges;
import org.papayawalk.wire.proto.TableMark;
import org.papayawalk.wire.proto.TableRow;
import org.papayawalk.wire.proto.ViewQuery;
import org.papayawalk.wire.proto.ViewReply;

/** Builds and reads the messages by which daemons tell each other of tables. Holds no state. */
final class StateSyncMessages {

    /** Prevents instances. */
    private StateSyncMessages() {}

    /**
     * Adds what is known of the tables to a query.
     *
     * @param query query under construction
     * @param state state of this daemon
     */
    static void marks(ViewQuery.Builder query, PlatformState state) {
        for (String table : state.tableNames()) {
            query.addMarks(
                    TableMark.newBuilder()
                            .setTable(table)
                            .setVersion(state.table(table).version()));
        }
    }

    /**
     * Adds what is newer than the marks of a query to a reply.
     *
     * @param reply reply under construction
     * @param query query
     * @param state state of this daemon
     * @return true if something is newer
     */
    static boolean changes(ViewReply.Builder reply, ViewQuery query, PlatformState state) {
        boolean any = false;
        for (TableMark m : query.getMarksList()) {
            TableReplica copy = state.table(m.getTable());
            if (copy == null || copy.version() <= m.getVersion()) {
                continue;
            }
            TableUpdate news = copy.updateSince(m.getVersion());
            any |= !news.rows().isEmpty() || news.snapshot() || m.getVersion() == 0;
            TableChanges.Builder changes =
                    TableChanges.newBuilder()
                            .setTable(m.getTable())
                            .setAfter(m.getVersion())
                            .setVersion(news.version())
                            .setWhole(news.snapshot());
            news.rows().forEach(r -> changes.addRows(row(r)));
            reply.addChanges(changes);
        }
        return any;
    }

    /**
     * Takes the rows of a reply.
     *
     * @param reply reply
     * @param state state of this daemon
     * @param peer address of the sender
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
            state.read(
                    c.getTable(),
                    new TableUpdate(rows, c.getVersion(), c.getWhole()),
                    c.getAfter(),
                    peer);
        }
    }

    /**
     * Encodes the address of an entry.
     *
     * @param address address
     * @param domain failure domain
     * @return message
     */
    static EntryAddress entry(String address, DomainId domain) {
        return EntryAddress.newBuilder().setAddress(address).setDomain(domain.value()).build();
    }

    /**
     * Encodes the evidence against requests.
     *
     * @param suspects evidence
     * @param now present time
     * @return messages
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
     * Takes evidence against requests.
     *
     * @param runs messages
     * @param suspects evidence of this daemon
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
     * Encodes a row.
     *
     * @param row row
     * @return message
     */
    private static TableRow row(TableRecord row) {
        return TableRow.newBuilder()
                .setKey(row.key())
                .setValue(ByteString.copyFrom(row.value()))
                .setVersion(row.version())
                .setRemoved(row.removed())
                .build();
    }
}
