package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link TableReplica} with snapshots and changes as the store and peers return them. */
public final class TableReplicaTest {

    /** An update that is older than the replica has no effect, even if it is a snapshot. */
    @Test
    public void olderUpdateHasNoEffect() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5), row("b", 9)), 0);
        assertTrue(replica.apply(snapshot(8, row("a", 5)), 0).isEmpty());
        assertEquals(replica.version(), 10);
        assertEquals(replica.liveRows().size(), 2);
    }

    /** Changes that start after the replica's version would leave a gap and are ignored. */
    @Test
    public void changesAfterAGapAreIgnored() {
        TableReplica replica = new TableReplica();
        replica.apply(snapshot(10, row("a", 5)), 0);
        assertTrue(replica.apply(changes(20, row("a", 19)), 15).isEmpty());
        assertEquals(replica.version(), 10);
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
        assertEquals(replica.updateSince(30).rows().get(0).key(), "c");
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
        peer.apply(update, peer.version());
        assertTrue(update.snapshot());
        assertEquals(peer.version(), 30);
        assertEquals(peer.liveRows().size(), 1);
        assertFalse(fresh.updateSince(30).snapshot());
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
        assertTrue(replica.updateSince(11).snapshot());
        assertEquals(replica.updateSince(11).rows().size(), 1);
        assertFalse(replica.updateSince(1_998).snapshot());
        assertTrue(replica.updateSince(1_900).rows().size() < 1_100);
    }

    private static TableRecord row(String key, long version) {
        return new TableRecord(key, new byte[] {1}, version, false);
    }

    private static TableUpdate snapshot(long version, TableRecord... rows) {
        return new TableUpdate(List.of(rows), version, true);
    }

    private static TableUpdate changes(long version, TableRecord... rows) {
        return new TableUpdate(List.of(rows), version, false);
    }
}
