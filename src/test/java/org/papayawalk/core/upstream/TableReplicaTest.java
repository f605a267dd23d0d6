package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.papayawalk.core.id.StoreEra;
import org.testng.annotations.Test;

/** Tests {@link TableReplica} with snapshots and changes as the store and peers return them. */
public final class TableReplicaTest {

    /** An update that is older than the replica has no effect, even if it is a snapshot. */
    @Test
    public void olderUpdateHasNoEffect() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5), row("b", 9)), 0);
        assertTrue(replica.apply(snapshot(8, row("a", 5)), 0).isEmpty());
        assertEquals(replica.version(), version(10));
        assertEquals(replica.liveRows().size(), 2);
    }

    /** Changes that start after the replica's version would leave a gap and are ignored. */
    @Test
    public void changesAfterAGapAreIgnored() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5)), 0);
        assertTrue(replica.apply(changes(20, row("a", 19)), 15).isEmpty());
        assertEquals(replica.version(), version(10));
    }

    /** A row that is missing from a later snapshot was removed; peers receive the removal. */
    @Test
    public void rowMissingFromSnapshotIsRemoved() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5), row("b", 9)), 0);
        List<TableRecord> changed = replica.apply(snapshot(30, row("a", 5)), 0);
        assertEquals(changed.size(), 1);
        assertTrue(changed.get(0).removed());
        assertEquals(replica.liveRows().size(), 1);
        assertEquals(replica.apply(changes(31, row("c", 31)), 30).size(), 1);
        assertEquals(replica.updateSince(version(30)).rows().get(0).key(), "c");
    }

    /** The same changes from the store and from a peer are applied once. */
    @Test
    public void repeatedChangesAreAppliedOnce() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5)), 0);
        assertEquals(replica.apply(changes(12, row("a", 12)), 10).size(), 1);
        assertEquals(replica.apply(changes(12, row("a", 12)), 10).size(), 0);
    }

    /**
     * A replica that was filled from a snapshot returns a snapshot to a peer that is behind it,
     * because it does not know which rows were removed earlier.
     */
    @Test
    public void peerBehindASnapshotGetsASnapshot() {
        TableReplica peer = new TableReplica();
        peer.apply(snapshot(10, row("a", 5), row("b", 9)), 0);
        TableReplica fresh = new TableReplica();
        fresh.apply(snapshot(30, row("a", 5)), 0);
        TableUpdate update = fresh.updateSince(peer.version());
        peer.apply(update, peer.version().number());
        assertTrue(update.snapshot());
        assertEquals(peer.version(), version(30));
        assertEquals(peer.liveRows().size(), 1);
        assertFalse(fresh.updateSince(version(30)).snapshot());
    }

    /** Old tombstones are evicted; a peer that may lack these removals gets a snapshot. */
    @Test
    public void evictedTombstonesRequireASnapshot() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5)), 0);
        for (int i = 11; i < 2_000; i++) {
            TableRecord tombstone = new TableRecord("k" + i, new byte[0], i, true);
            replica.apply(changes(i, tombstone), i - 1);
        }
        assertTrue(replica.updateSince(version(11)).snapshot());
        assertEquals(replica.updateSince(version(11)).rows().size(), 1);
        assertFalse(replica.updateSince(version(1_998)).snapshot());
        assertTrue(replica.updateSince(version(1_900)).rows().size() < 1_100);
    }

    /** A snapshot of a later era replaces all rows although its version is lower. */
    @Test
    public void snapshotOfLaterEraReplacesRows() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5), row("b", 9)), 0);
        List<TableRecord> changed = replica.apply(restored(7, row("a", 5), row("c", 6)), 0);
        assertEquals(changed.stream().map(TableRecord::key).sorted().toList(), List.of("b", "c"));
        assertEquals(replica.liveRows().size(), 2);
        assertEquals(replica.version(), new TableVersion(new StoreEra(1), 7));
    }

    /** Changes of a later era do not follow a version of an earlier one with the same number. */
    @Test
    public void changesOfLaterEraAreIgnored() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5)), 0);
        TableVersion later = new TableVersion(new StoreEra(1), 12);
        TableUpdate changes = new TableUpdate(List.of(row("b", 11)), later, false);
        assertTrue(replica.apply(changes, 10).isEmpty());
        assertEquals(replica.version(), version(10));
    }

    /** A late answer of an earlier era has no effect, however high its version is. */
    @Test
    public void updateOfEarlierEraHasNoEffect() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5)), 0);
        replica.apply(restored(7, row("a", 5)), 0);
        assertTrue(replica.apply(snapshot(11, row("b", 11)), 0).isEmpty());
        assertTrue(replica.apply(changes(11, row("b", 11)), 7).isEmpty());
        assertEquals(replica.liveRows().size(), 1);
    }

    /** A row that is written again in the new era gets a version that was given out before. */
    @Test
    public void rowWrittenAgainInNewEraIsTaken() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5), row("b", 9)), 0);
        replica.apply(restored(7, row("a", 5)), 0);
        TableVersion later = new TableVersion(new StoreEra(1), 9);
        TableUpdate again = new TableUpdate(List.of(row("b", 9)), later, false);
        assertEquals(replica.apply(again, 7).size(), 1);
        assertEquals(replica.liveRows().size(), 2);
    }

    /** A peer in an earlier era gets all rows, even if its version is higher. */
    @Test
    public void peerInEarlierEraGetsASnapshot() {
        TableReplica replica = new TableReplica();
        replica.apply(restored(7, row("a", 5)), 0);
        assertTrue(replica.updateSince(version(10)).snapshot());
    }

    private static TableRecord row(String key, long version) {
        return new TableRecord(key, new byte[] {1}, version, false);
    }

    private static TableUpdate snapshot(long version, TableRecord... rows) {
        return new TableUpdate(List.of(rows), version(version), true);
    }

    private static TableUpdate changes(long version, TableRecord... rows) {
        return new TableUpdate(List.of(rows), version(version), false);
    }

    private static TableVersion version(long number) {
        return new TableVersion(StoreEra.INITIAL, number);
    }

    private static TableUpdate restored(long version, TableRecord... rows) {
        return new TableUpdate(List.of(rows), new TableVersion(new StoreEra(1), version), true);
    }
}
