package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.testng.annotations.Test;

/** Tests removals and drains in {@link UpstreamTracker} around outages of the store. */
public final class UpstreamTrackerTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** A registration that is removed while the store is healthy takes effect at once. */
    @Test
    public void removalIsFinalWhileStoreIsHealthy() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.remove(new UpstreamId("u"), T0);
        assertTrue(tracker.usable().isEmpty());
    }

    /** A registration that expires around an outage stays for the grace period, and no longer. */
    @Test
    public void expiryAroundOutageTakesEffectAfterGracePeriod() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.storeUnavailable(T0);
        tracker.remove(new UpstreamId("u"), T0.plusMillis(500));
        assertEquals(tracker.usable().size(), 1);
        Instant end = T0.plusMillis(500).plus(UpstreamTracker.EXPIRY_GRACE);
        assertTrue(tracker.expire(end.minusMillis(1)).isEmpty());
        assertEquals(tracker.expire(end).size(), 1);
        assertTrue(tracker.usable().isEmpty());
    }

    /** A failure that a peer tells of later does not end the window of a newer one. */
    @Test
    public void olderFailureDoesNotShortenTheOutage() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.storeUnavailable(T0);
        tracker.storeUnavailable(T0.minusSeconds(2));
        tracker.remove(new UpstreamId("u"), T0.plusMillis(500));
        assertEquals(tracker.usable().size(), 1);
    }

    /** Removals are final while the store fails only for this daemon, as no lease expires then. */
    @Test
    public void removalIsFinalWhileStoreIsHealthyForPeers() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.storeUnavailable(T0);
        tracker.storeHealthyForPeers(T0.plusMillis(100));
        tracker.remove(new UpstreamId("u"), T0.plusMillis(500));
        assertTrue(tracker.usable().isEmpty());
    }

    /** An upstream that registers again within the grace period stays. */
    @Test
    public void upstreamThatRegistersAgainStays() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.storeUnavailable(T0);
        tracker.remove(new UpstreamId("u"), T0.plusMillis(500));
        tracker.put(registration(1, false), T0);
        assertTrue(tracker.expire(T0.plusSeconds(60)).isEmpty());
        assertEquals(tracker.usable().size(), 1);
    }

    /** A draining process takes no work, even if a later registration of it states ready. */
    @Test
    public void drainingIsFinalForAProcess() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, true), T0);
        tracker.put(registration(1, false), T0);
        assertTrue(tracker.usable().isEmpty());
    }

    /** A late write of an earlier incarnation does not make a draining upstream ready. */
    @Test
    public void lateWriteOfEarlierIncarnationIsIgnored() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(2, true), T0);
        tracker.put(registration(1, false), T0);
        assertTrue(tracker.usable().isEmpty());
    }

    /** A new incarnation under the same name is another process and may take work. */
    @Test
    public void newIncarnationUnderSameNameIsUsable() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, true), T0);
        tracker.put(registration(2, false), T0);
        assertEquals(tracker.usable().size(), 1);
    }

    /** A draining upstream whose registration expires in an outage has no grace period. */
    @Test
    public void drainingUpstreamHasNoGracePeriod() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, true), T0);
        tracker.storeUnavailable(T0);
        tracker.remove(new UpstreamId("u"), T0);
        assertTrue(tracker.nextExpiry().isEmpty());
    }

    /**
     * A late write of a process that announced its drain does not make it ready, also after its
     * registration was removed.
     */
    @Test
    public void drainIsRememberedAfterRemoval() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, true), T0);
        tracker.remove(new UpstreamId("u"), T0.plusMillis(100));
        tracker.put(registration(1, false), T0.plusMillis(900));
        assertTrue(tracker.usable().isEmpty());
    }

    /** A registration without a start time may belong to a new process once it was removed. */
    @Test
    public void drainOfUnidentifiedProcessEndsWithItsRemoval() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(0, true), T0);
        tracker.remove(new UpstreamId("u"), T0.plusMillis(100));
        tracker.put(registration(0, false), T0.plusMillis(900));
        assertEquals(tracker.usable().size(), 1);
    }

    /** A restored store that lacks a registration does not take its upstream away at once. */
    @Test
    public void registrationMissingAfterRestoreHasGracePeriod() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.storeHealthyForPeers(T0);
        tracker.storeRestored(T0);
        tracker.remove(new UpstreamId("u"), T0);
        assertEquals(tracker.usable().size(), 1);
        Instant end = T0.plus(UpstreamTracker.EXPIRY_GRACE);
        assertEquals(tracker.expire(end).size(), 1);
    }

    /** A removed process that a restore brings back takes work only if its lease outlasts that. */
    @Test
    public void removedProcessThatRestoreBringsBackIsHeldBack() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.remove(new UpstreamId("u"), T0.plusMillis(100));
        tracker.storeRestored(T0.plusMillis(500));
        tracker.put(registration(1, false), T0.plusMillis(500));
        assertTrue(tracker.usable().isEmpty());
        Instant end = T0.plusMillis(500).plus(UpstreamTracker.RESTORED_ROW_DOUBT);
        assertTrue(tracker.admitDoubted(end.minusMillis(1)).isEmpty());
        assertEquals(tracker.admitDoubted(end).size(), 1);
        assertEquals(tracker.usable().size(), 1);
    }

    /** A removed process that a restore brings back and whose lease expires is never admitted. */
    @Test
    public void heldBackProcessWhoseLeaseExpiresIsNotAdmitted() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.remove(new UpstreamId("u"), T0.plusMillis(100));
        tracker.storeRestored(T0.plusMillis(500));
        tracker.put(registration(1, false), T0.plusMillis(500));
        tracker.remove(new UpstreamId("u"), T0.plusMillis(3000));
        assertTrue(tracker.admitDoubted(T0.plusSeconds(60)).isEmpty());
        assertTrue(tracker.usable().isEmpty());
    }

    /** A restore that brings back an earlier incarnation does not replace the present one. */
    @Test
    public void restoredEarlierIncarnationDoesNotReplaceThePresentOne() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false), T0);
        tracker.put(registration(2, false), T0.plusMillis(100));
        tracker.storeRestored(T0.plusMillis(500));
        tracker.put(registration(1, false), T0.plusMillis(500));
        assertEquals(tracker.usable().get(0).incarnation(), 2);
    }

    /**
     * After a loss of power, a new process registers under another name at the address of the one
     * before it, whose lease has not expired yet. Requests for that one would be misdirected.
     */
    @Test
    public void newerProcessAtTheSameAddressReplacesTheOlder() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration("old", 1), T0);
        tracker.put(registration("new", 2), T0);
        assertEquals(tracker.usable().size(), 1);
        assertEquals(tracker.usable().get(0).id(), new UpstreamId("new"));
        tracker.remove(new UpstreamId("old"), T0);
        assertEquals(tracker.usable().size(), 1);
    }

    private static UpstreamRegistration registration(long incarnation, boolean draining) {
        return registration("u", incarnation, draining);
    }

    private static UpstreamRegistration registration(String id, long incarnation) {
        return registration(id, incarnation, false);
    }

    private static UpstreamRegistration registration(
            String id, long incarnation, boolean draining) {
        return new UpstreamRegistration(
                new UpstreamId(id),
                incarnation,
                new ServiceId("s"),
                "10.0.0.1:80",
                new DomainId("luzon-a"),
                4,
                draining,
                Map.of());
    }
}
