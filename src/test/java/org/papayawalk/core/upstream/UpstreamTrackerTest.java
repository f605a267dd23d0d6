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
        tracker.put(registration(1, false));
        tracker.remove(new UpstreamId("u"), T0);
        assertTrue(tracker.usable().isEmpty());
    }

    /** A registration that expires around an outage stays for the grace period, and no longer. */
    @Test
    public void expiryAroundOutageTakesEffectAfterGracePeriod() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false));
        tracker.storeUnavailable(T0);
        tracker.remove(new UpstreamId("u"), T0.plusMillis(500));
        assertEquals(tracker.usable().size(), 1);
        Instant end = T0.plusMillis(500).plus(UpstreamTracker.EXPIRY_GRACE);
        assertTrue(tracker.expire(end.minusMillis(1)).isEmpty());
        assertEquals(tracker.expire(end).size(), 1);
        assertTrue(tracker.usable().isEmpty());
    }

    /** Removals are final while the store fails only for this daemon, as no lease expires then. */
    @Test
    public void removalIsFinalWhileStoreIsHealthyForPeers() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false));
        tracker.storeUnavailable(T0);
        tracker.storeHealthyForPeers(T0.plusMillis(100));
        tracker.remove(new UpstreamId("u"), T0.plusMillis(500));
        assertTrue(tracker.usable().isEmpty());
    }

    /** An upstream that registers again within the grace period stays. */
    @Test
    public void upstreamThatRegistersAgainStays() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, false));
        tracker.storeUnavailable(T0);
        tracker.remove(new UpstreamId("u"), T0.plusMillis(500));
        tracker.put(registration(1, false));
        assertTrue(tracker.expire(T0.plusSeconds(60)).isEmpty());
        assertEquals(tracker.usable().size(), 1);
    }

    /** A draining process takes no work, even if a later registration of it states ready. */
    @Test
    public void drainingIsFinalForAProcess() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, true));
        tracker.put(registration(1, false));
        assertTrue(tracker.usable().isEmpty());
    }

    /** A late write of an earlier incarnation does not make a draining upstream ready. */
    @Test
    public void lateWriteOfEarlierIncarnationIsIgnored() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(2, true));
        tracker.put(registration(1, false));
        assertTrue(tracker.usable().isEmpty());
    }

    /** A new incarnation under the same name is another process and may take work. */
    @Test
    public void newIncarnationUnderSameNameIsUsable() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, true));
        tracker.put(registration(2, false));
        assertEquals(tracker.usable().size(), 1);
    }

    /** A draining upstream whose registration expires in an outage has no grace period. */
    @Test
    public void drainingUpstreamHasNoGracePeriod() {
        UpstreamTracker tracker = new UpstreamTracker();
        tracker.put(registration(1, true));
        tracker.storeUnavailable(T0);
        tracker.remove(new UpstreamId("u"), T0);
        assertTrue(tracker.nextExpiry().isEmpty());
    }

    private static UpstreamRegistration registration(long incarnation, boolean draining) {
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
