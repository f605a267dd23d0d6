package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Applies readings of a table in the orders in which stores and peers give them. */
public final class TableReplicaTest {

    /** A reading that is older than the copy changes nothing, also if it claims to be whole. */
    @Test
    public void olderReadingChangesNothing() {
        TableReplica copy = new TableReplica();
        copy.apply(whole(10, row("a", 5), row("b", 9)), 0);
        assertTrue(copy.apply(whole(8, row("a", 5)), 0).isEmpty());
        assertEquals(copy.version(), 10);
        assertEquals(copy.liveRows().size(), 2);
    }

    /** Changes that begin behind the copy's version would leave a gap and are not taken. */
    @Test
    public void changesBehindAGapAreNotTaken() {
        TableReplica copy = new TableReplica();
        copy.apply(whole(10, row("a", 5)), 0);
        assertTrue(copy.apply(changes(20, row("a", 19)), 15).isEmpty());
        assertEquals(copy.version(), 10);
    }

    /** A row that a later whole reading lacks was removed, and peers learn of it. */
    @Test
    public void rowMissingFromWholeReadingIsRemoved() {
        TableReplica copy = new TableReplica();
        copy.apply(whole(10, row("a", 5), row("b", 9)), 0);
        List<TableRecord> changed = copy.apply(whole(30, row("a", 5)), 0);
        assertEquals(changed.size(), 1);
        assertTrue(changed.get(0).removed());
        assertEquals(copy.liveRows().size(), 1);
        assertEquals(copy.apply(changes(31, row("c", 31)), 30).size(), 1);
        assertEquals(copy.updateSince(30).rows().get(0).key(), "c");
    }

    /** The same changes from the store and from a peer are taken once. */
    @Test
    public void repeatedChangesAreTakenOnce() {
        TableReplica copy = new TableReplica();
        copy.apply(whole(10, row("a", 5)), 0);
        assertEquals(copy.apply(changes(12, row("a", 12)), 10).size(), 1);
        assertEquals(copy.apply(changes(12, row("a", 12)), 10).size(), 0);
    }

    /**
     * A copy that was read whole gives a peer that is behind that reading all rows, because it
     * never saw what was removed before.
     */
    @Test
    public void peerBehindAWholeReadingGetsAllRows() {
        TableReplica peer = new TableReplica();
        peer.apply(whole(10, row("a", 5), row("b", 9)), 0);
        TableReplica fresh = new TableReplica();
        fresh.apply(whole(30, row("a", 5)), 0);
        TableUpdate news = fresh.updateSince(peer.version());
        peer.apply(news, peer.version());
        assertTrue(news.snapshot());
        assertEquals(peer.version(), 30);
        assertEquals(peer.liveRows().size(), 1);
        assertFalse(fresh.updateSince(30).snapshot());
    }

    /** Removals are forgotten in the end; a peer that may lack them gets all rows. */
    @Test
    public void forgottenRemovalsMakeNewsWhole() {
        TableReplica copy = new TableReplica();
        copy.apply(whole(10, row("a", 5)), 0);
        for (int i = 11; i < 2_000; i++) {
            TableRecord gone = new TableRecord("k" + i, new byte[0], i, true);
            copy.apply(changes(i, gone), i - 1);
        }
        assertTrue(copy.updateSince(11).snapshot());
        assertEquals(copy.updateSince(11).rows().size(), 1);
        assertFalse(copy.updateSince(1_998).snapshot());
        assertTrue(copy.updateSince(1_900).rows().size() < 1_100);
    }

    /**
     * Makes a row.
     *
     * @param key key
     * @param version version
     * @return row
     */
    private static TableRecord row(String key, long version) {
        return new TableRecord(key, new byte[] {1}, version, false);
    }

    /**
     * Makes a whole reading.
     *
     * @param version version
     * @param rows rows
     * @return reading
     */
    private static TableUpdate whole(long version, TableRecord... rows) {
        return new TableUpdate(List.of(rows), version, true);
    }

    /**
     * Makes a reading of changes.
     *
     * @param version version
     * @param rows rows
     * @return reading
     */
    private static TableUpdate changes(long version, TableRecord... rows) {
        return new TableUpdate(List.of(rows), version, false);
    }
}
