package org.papayawalk.core.weight;

import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.testng.annotations.Test;

/**
 * Two relays of a region share the chunks of a version, and one of them never gets on, because it
 * is cut off from everything but the other. The other one must not wait for it for good.
 */
public final class SwarmPlannerBusyTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private static final int CHUNKS = 12;

    private static final RegionId REGION = new RegionId("casa");

    private static final RegionId ORIGIN_REGION = new RegionId("mrk");

    private static final HostId SELF = new HostId("10.2.0.1");

    private static final HostId STUCK = new HostId("10.2.0.2");

    private static final HostId REMOTE = new HostId("10.3.0.1");

    /** All chunks arrive from the region of the origin although a neighbor is always busy. */
    @Test
    public void neighborWithoutAnyChunkDoesNotHoldUpTheDownload() {
        SwarmPlanner planner =
                new SwarmPlanner(
                        SELF,
                        REGION,
                        Digest.of(new byte[] {1}),
                        CHUNKS,
                        new SwarmPlannerSettings(
                                DistributionPolicy.BYTES,
                                ORIGIN_REGION,
                                4,
                                2,
                                true,
                                SwarmPlannerSettings.OFFER_WAIT),
                        new SplittableRandom(7),
                        T0);
        planner.updatePeers(
                List.of(
                        new SwarmPeer(SELF, REGION, true),
                        new SwarmPeer(STUCK, REGION),
                        new SwarmPeer(REMOTE, ORIGIN_REGION)));
        Set<HostId> asked = new HashSet<>();
        for (int step = 0; step < 100 && !planner.isComplete(); step++) {
            Instant now = T0.plusMillis(100L * step);
            for (FetchRequest r : planner.nextRequests(now)) {
                assertTrue(!r.source().isOrigin(), "the origin is asked by its own region only");
                asked.add(r.source().host());
                boolean busy = r.source().host().equals(STUCK);
                planner.updateAvailability(r.source().host(), new BitSet());
                planner.recordResult(r, busy ? FetchResult.BUSY : FetchResult.VERIFIED, now);
            }
        }
        assertTrue(asked.contains(STUCK), "no chunk was assigned to the neighbor");
        assertTrue(planner.isComplete(), "held " + planner.heldCount() + " of " + CHUNKS);
    }
}
