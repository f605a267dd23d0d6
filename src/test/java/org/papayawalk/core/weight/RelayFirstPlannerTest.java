package org.papayawalk.core.weight;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.testng.annotations.Test;

/** Fetches a version from relays that have it, fail, or do not know it. */
public final class RelayFirstPlannerTest {
    /** Some moment. */
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Region of all hosts. */
    private static final RegionId REGION = new RegionId("luzon");

    /** The only relay. */
    private static final HostId RELAY = new HostId("10.1.0.1");

    /** All chunks come from the relay while it answers, a few at a time. */
    @Test
    public void relayIsAskedForEveryChunk() {
        Others others = new Others();
        RelayFirstPlanner planner = planner(others);
        Instant now = T0;
        while (!planner.isComplete()) {
            List<FetchRequest> orders = planner.nextRequests(now);
            assertTrue(orders.size() <= 2 && !orders.isEmpty());
            for (FetchRequest o : orders) {
                assertEquals(o.source().host(), RELAY);
                planner.recordResult(o, FetchResult.VERIFIED, now);
            }
            now = now.plusMillis(50);
        }
        assertEquals(others.asked, 0);
    }

    /** Peers and the origin are asked while the relay does not know the version. */
    @Test
    public void othersAreAskedWhileRelayDoesNotKnowTheVersion() {
        Others others = new Others();
        RelayFirstPlanner planner = planner(others);
        Instant now = T0.plusMillis(500);
        planner.nextRequests(now).forEach(o -> planner.recordResult(o, FetchResult.NOT_HELD, now));
        planner.nextRequests(now.plusMillis(10));
        assertEquals(others.asked, 1);
    }

    /** At first the relay gets time to learn of the version, so that the origin is asked once. */
    @Test
    public void relayGetsAHeadStart() {
        Others others = new Others();
        RelayFirstPlanner planner = planner(others);
        planner.nextRequests(T0).forEach(o -> planner.recordResult(o, FetchResult.NOT_HELD, T0));
        planner.nextRequests(T0.plusMillis(20));
        assertEquals(others.asked, 0);
        assertFalse(planner.nextRequests(T0.plusMillis(150)).isEmpty());
    }

    /** A relay that fails is asked again after a pause, and others meanwhile. */
    @Test
    public void failedRelayIsAskedAgain() {
        Others others = new Others();
        RelayFirstPlanner planner = planner(others);
        Instant now = T0.plusSeconds(1);
        planner.nextRequests(now).forEach(o -> planner.recordResult(o, FetchResult.FAILED, now));
        planner.nextRequests(now.plusMillis(100));
        assertEquals(others.asked, 1);
        assertFalse(planner.nextRequests(now.plus(Duration.ofSeconds(1))).isEmpty());
    }

    /**
     * Makes a planner of twelve chunks with one relay and one peer.
     *
     * @param others planner of what the relay does not have
     * @return planner
     */
    private static RelayFirstPlanner planner(Others others) {
        RelayFirstPlanner planner = new RelayFirstPlanner("v", 12, 2, others, T0.plusMillis(400));
        planner.updatePeers(
                List.of(
                        new SwarmPeer(RELAY, REGION, true),
                        new SwarmPeer(new HostId("10.1.0.2"), REGION)));
        return planner;
    }

    /** Planner that counts how often it is asked. */
    private static final class Others implements ChunkPlanner {
        /** Times that it was asked for orders. */
        private int asked;

        @Override
        public void updatePeers(Collection<SwarmPeer> hosts) {
            assertTrue(hosts.stream().noneMatch(SwarmPeer::relay));
        }

        @Override
        public List<HostId> neighbors() {
            return List.of();
        }

        @Override
        public void updateAvailability(HostId peer, BitSet held) {
            // Offers do not matter here.
        }

        @Override
        public List<FetchRequest> nextRequests(Instant now) {
            asked++;
            return List.of();
        }

        @Override
        public void recordResult(FetchRequest order, FetchResult result, Instant now) {
            throw new AssertionError("no order was given");
        }

        @Override
        public void markHeld(int index) {
            // Kept chunks do not matter here.
        }

        @Override
        public boolean fetches(int index) {
            return false;
        }

        @Override
        public int heldCount() {
            return 0;
        }

        @Override
        public boolean isComplete() {
            return false;
        }
    }
}
