package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.testng.annotations.Test;

/** Removes and drains upstreams around outages of the store. */
public final class UpstreamTrackerTest {
    /** Some moment. */
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** An entry that is removed while the store is well is gone at once. */
    @Test
    public void removalIsFinalWhileStoreIsWell() {
        UpstreamTracker book = new UpstreamTracker();
        book.put(entry(1, false));
        book.remove(new UpstreamId("u"), T0);
        assertTrue(book.usable().isEmpty());
    }

    /** An entry that lapsed around an outage stays for a grace, and is gone after it. */
    @Test
    public void lapseAroundOutageIsBorneForAGrace() {
        UpstreamTracker book = new UpstreamTracker();
        book.put(entry(1, false));
        book.storeUnavailable(T0);
        book.remove(new UpstreamId("u"), T0.plusMillis(500));
        assertEquals(book.usable().size(), 1);
        Instant end = T0.plusMillis(500).plus(UpstreamTracker.EXPIRY_GRACE);
        assertTrue(book.expire(end.minusMillis(1)).isEmpty());
        assertEquals(book.expire(end).size(), 1);
        assertTrue(book.usable().isEmpty());
    }

    /** A store that turns only this daemon away removes nothing by mistake: removals are final. */
    @Test
    public void removalIsFinalWhileStoreServesOthers() {
        UpstreamTracker book = new UpstreamTracker();
        book.put(entry(1, false));
        book.storeUnavailable(T0);
        book.storeHealthyForPeers(T0.plusMillis(100));
        book.remove(new UpstreamId("u"), T0.plusMillis(500));
        assertTrue(book.usable().isEmpty());
    }

    /** An entry that comes back within the grace stays. */
    @Test
    public void entryThatComesBackStays() {
        UpstreamTracker book = new UpstreamTracker();
        book.put(entry(1, false));
        book.storeUnavailable(T0);
        book.remove(new UpstreamId("u"), T0.plusMillis(500));
        book.put(entry(1, false));
        assertTrue(book.expire(T0.plusSeconds(60)).isEmpty());
        assertEquals(book.usable().size(), 1);
    }

    /** A draining upstream takes no work, even if a later entry of its process says ready. */
    @Test
    public void drainingIsFinalForAProcess() {
        UpstreamTracker book = new UpstreamTracker();
        book.put(entry(1, true));
        book.put(entry(1, false));
        assertTrue(book.usable().isEmpty());
    }

    /** A late write of an earlier start does not make a draining upstream ready. */
    @Test
    public void lateWriteOfEarlierStartChangesNothing() {
        UpstreamTracker book = new UpstreamTracker();
        book.put(entry(2, true));
        book.put(entry(1, false));
        assertTrue(book.usable().isEmpty());
    }

    /** A new start under the same name is another process and may take work. */
    @Test
    public void newStartUnderSameNameIsUsable() {
        UpstreamTracker book = new UpstreamTracker();
        book.put(entry(1, true));
        book.put(entry(2, false));
        assertEquals(book.usable().size(), 1);
    }

    /** A draining upstream whose entry vanishes during an outage gets no grace. */
    @Test
    public void drainingUpstreamGetsNoGrace() {
        UpstreamTracker book = new UpstreamTracker();
        book.put(entry(1, true));
        book.storeUnavailable(T0);
        book.remove(new UpstreamId("u"), T0);
        assertTrue(book.nextExpiry().isEmpty());
    }

    /**
     * Makes an entry.
     *
     * @param incarnation start of the process
     * @param draining whether it leaves
     * @return entry
     */
    private static UpstreamRegistration entry(long incarnation, boolean draining) {
        return new UpstreamRegistration(
                new UpstreamId("u"),
                incarnation,
                new ServiceId("s"),
                "10.0.0.1:80",
                new DomainId("luzon-a"),
                4,
                draining,
                Map.of());
    }
}
