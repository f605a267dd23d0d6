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

/** Tests a planner with a relay that holds the version, fails, or does not hold it. */
public final class RelayFirstPlannerTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private static final RegionId REGION = new RegionId("luzon");

    private static final HostId RELAY = new HostId("10.1.0.1");

    /** All chunks are requested from the relay while it delivers, at most two at a time. */
    @Test
    public void everyChunkIsRequestedFromTheRelay() {
        CountingPlanner fallback = new CountingPlanner();
        RelayFirstPlanner planner = planner(fallback);
        Instant now = T0;
        while (!planner.isComplete()) {
            List<FetchRequest> requests = planner.nextRequests(now);
            assertTrue(requests.size() <= 2 && !requests.isEmpty());
            for (FetchRequest r : requests) {
                assertEquals(r.source().host(), RELAY);
                planner.recordResult(r, FetchResult.VERIFIED, now);
            }
            now = now.plusMillis(50);
        }
        assertEquals(fallback.calls, 0);
    }

    /** The fallback, with peers and the origin, is used while the relay lacks the version. */
    @Test
    public void fallbackIsUsedWhileRelayDoesNotHoldTheVersion() {
        CountingPlanner fallback = new CountingPlanner();
        RelayFirstPlanner planner = planner(fallback);
        Instant now = T0.plusMillis(500);
        planner.nextRequests(now).forEach(r -> planner.recordResult(r, FetchResult.NOT_HELD, now));
        planner.nextRequests(now.plusMillis(10));
        assertEquals(fallback.calls, 1);
    }

    /** At first only the relay is retried, so that only the relay fetches from the origin. */
    @Test
    public void relayIsRetriedBeforeFallbackIsUsed() {
        CountingPlanner fallback = new CountingPlanner();
        RelayFirstPlanner planner = planner(fallback);
        planner.nextRequests(T0).forEach(r -> planner.recordResult(r, FetchResult.NOT_HELD, T0));
        planner.nextRequests(T0.plusMillis(20));
        assertEquals(fallback.calls, 0);
        assertFalse(planner.nextRequests(T0.plusMillis(150)).isEmpty());
    }

    /** A relay that fails is retried after its backoff; the fallback is used until then. */
    @Test
    public void failedRelayIsRetried() {
        CountingPlanner fallback = new CountingPlanner();
        RelayFirstPlanner planner = planner(fallback);
        Instant now = T0.plusSeconds(1);
        planner.nextRequests(now).forEach(r -> planner.recordResult(r, FetchResult.FAILED, now));
        planner.nextRequests(now.plusMillis(100));
        assertEquals(fallback.calls, 1);
        assertFalse(planner.nextRequests(now.plus(Duration.ofSeconds(1))).isEmpty());
    }

    /**
     * While the origin is away, chunks that the relay holds are fetched although it lacks earlier
     * ones; the missing ones are requested last.
     */
    @Test
    public void chunksThatTheRelayHoldsAreRequestedFirst() {
        RelayFirstPlanner planner = planner(new CountingPlanner());
        BitSet held = new BitSet();
        held.set(5, 8);
        for (FetchRequest r : planner.nextRequests(T0)) {
            planner.updateAvailability(RELAY, held);
            planner.recordResult(r, FetchResult.BUSY, T0);
        }
        List<FetchRequest> requests = planner.nextRequests(T0);
        assertEquals(requests.stream().map(FetchRequest::index).toList(), List.of(5, 6));
        requests.forEach(r -> planner.recordResult(r, FetchResult.VERIFIED, T0));
        requests = planner.nextRequests(T0);
        assertEquals(requests.stream().map(FetchRequest::index).toList(), List.of(7, 0));
    }

    // Creates a planner for twelve chunks with one relay and one other peer.
    private static RelayFirstPlanner planner(CountingPlanner fallback) {
        RelayFirstPlanner planner = new RelayFirstPlanner("v", 12, 2, fallback, T0.plusMillis(400));
        planner.updatePeers(
                List.of(
                        new SwarmPeer(RELAY, REGION, true),
                        new SwarmPeer(new HostId("10.1.0.2"), REGION)));
        return planner;
    }

    /** Fallback that counts the calls for requests and returns none. */
    private static final class CountingPlanner implements ChunkPlanner {
        private int calls;

        @Override
        public void updatePeers(Collection<SwarmPeer> peers) {
            assertTrue(peers.stream().noneMatch(SwarmPeer::relay));
        }

        @Override
        public List<HostId> neighbors() {
            return List.of();
        }

        @Override
        public void updateAvailability(HostId peer, BitSet chunks) {
            // The tests do not depend on availability.
        }

        @Override
        public List<FetchRequest> nextRequests(Instant now) {
            calls++;
            return List.of();
        }

        @Override
        public void recordResult(FetchRequest request, FetchResult result, Instant now) {
            throw new AssertionError("the fallback returned no request that could end");
        }

        @Override
        public void markHeld(int index) {
            // The tests do not depend on the chunks held.
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
