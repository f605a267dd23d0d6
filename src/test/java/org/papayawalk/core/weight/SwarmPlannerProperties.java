package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.testng.Assert;

/** Properties of {@link SwarmPlanner}: every surviving host receives every chunk. */
final class SwarmPlannerProperties {
    private static final RegionId REGION = new RegionId("main");

    private static final int CHUNK_COUNT = 24;

    /** Simulated time per step. */
    private static final Duration STEP = Duration.ofMillis(100);

    /** Limit of steps in which every host must complete. */
    private static final int MAX_STEPS = 1200;

    /**
     * All hosts complete, and the origin sends each chunk once, while no host fails.
     *
     * @param hosts number of hosts
     * @param seed random seed
     */
    @Property(tries = 60, seed = "20261203")
    void oneOriginCopyWithoutFailures(
            @ForAll @IntRange(min = 2, max = 14) int hosts, @ForAll long seed) {
        Swarm swarm = new Swarm(hosts, DistributionPolicy.BYTES, seed, 0);
        swarm.run(MAX_STEPS);
        swarm.assertComplete();
        Assert.assertEquals(swarm.originChunks, CHUNK_COUNT);
    }

    /**
     * With policy {@code TIME}, all hosts complete and the origin sends at most two copies.
     *
     * @param hosts number of hosts
     * @param seed random seed
     */
    @Property(tries = 60, seed = "20261203")
    void atMostTwoOriginCopiesWithPolicyTime(
            @ForAll @IntRange(min = 2, max = 14) int hosts, @ForAll long seed) {
        Swarm swarm = new Swarm(hosts, DistributionPolicy.TIME, seed, 0);
        swarm.run(MAX_STEPS);
        swarm.assertComplete();
        Assert.assertTrue(
                swarm.originChunks <= 2 * CHUNK_COUNT,
                "the origin sent " + swarm.originChunks + " chunks");
    }

    /**
     * The surviving hosts complete although hosts fail for good during the download, bytes are
     * corrupted and requests fail.
     *
     * @param hosts number of hosts
     * @param faultPercent percentage of responses that are corrupted or fail
     * @param killed number of hosts that fail for good
     * @param seed random seed
     */
    @Property(tries = 100, seed = "20261203")
    void survivorsCompleteUnderFaults(
            @ForAll @IntRange(min = 3, max = 12) int hosts,
            @ForAll @LongRange(max = 30) long faultPercent,
            @ForAll @IntRange(max = 2) int killed,
            @ForAll long seed) {
        Swarm swarm = new Swarm(hosts, DistributionPolicy.BYTES, seed, faultPercent);
        swarm.run(15);
        for (int i = 0; i < killed; i++) {
            swarm.kill(i);
        }
        swarm.run(MAX_STEPS);
        swarm.assertComplete();
    }

    /** Simulated hosts with one planner each, and a clock that advances in steps. */
    private static final class Swarm {
        /** Planners by host, sorted so that runs are reproducible. */
        private final Map<HostId, SwarmPlanner> planners = new TreeMap<>();

        private final Map<HostId, BitSet> held = new HashMap<>();

        /** Hosts that have not failed. */
        private final List<SwarmPeer> peers = new ArrayList<>();

        /** Random generator for faults and for the planners. */
        private final SplittableRandom random;

        private final long faultPercent;

        private Instant now = Instant.EPOCH;

        /** Number of chunks that the origin sent. */
        private int originChunks;

        private Swarm(int hosts, DistributionPolicy policy, long seed, long faultPercent) {
            this.random = new SplittableRandom(seed);
            this.faultPercent = faultPercent;
            for (int i = 0; i < hosts; i++) {
                peers.add(new SwarmPeer(new HostId("host-" + i), REGION));
            }
            SwarmPlannerSettings settings = new SwarmPlannerSettings(policy, REGION, 4, 2);
            Digest digest = Digest.of(new byte[] {1});
            for (SwarmPeer p : peers) {
                SwarmPlanner planner =
                        new SwarmPlanner(
                                p.host(),
                                REGION,
                                digest,
                                CHUNK_COUNT,
                                settings,
                                random.split(),
                                now);
                planner.updatePeers(peers);
                planners.put(p.host(), planner);
                held.put(p.host(), new BitSet());
            }
        }

        private void run(int steps) {
            for (int i = 0; i < steps; i++) {
                now = now.plus(STEP);
                exchangeAvailability();
                planners.forEach(
                        (host, p) ->
                                p.nextRequests(now).forEach(request -> respond(host, p, request)));
            }
        }

        // Sends the chunks that each host holds to its neighbors.
        private void exchangeAvailability() {
            planners.forEach(
                    (host, p) -> {
                        for (HostId n : p.neighbors()) {
                            if (planners.containsKey(n)) {
                                planners.get(n).updateAvailability(host, held.get(host));
                            }
                        }
                    });
        }

        private void respond(HostId host, SwarmPlanner p, FetchRequest request) {
            FetchResult result = FetchResult.VERIFIED;
            if (request.source().isOrigin()) {
                originChunks++;
            } else if (!planners.containsKey(request.source().host())) {
                result = FetchResult.FAILED;
            } else if (!held.get(request.source().host()).get(request.index())) {
                boolean expected = planners.get(request.source().host()).fetches(request.index());
                result = expected ? FetchResult.BUSY : FetchResult.NOT_HELD;
            }
            if (result == FetchResult.VERIFIED && random.nextInt(100) < faultPercent) {
                result = random.nextBoolean() ? FetchResult.CORRUPT : FetchResult.FAILED;
            }
            if (result == FetchResult.VERIFIED) {
                held.get(host).set(request.index());
            }
            p.recordResult(request, result, now);
        }

        private void kill(int index) {
            HostId host = new HostId("host-" + index);
            planners.remove(host);
            peers.removeIf(peer -> peer.host().equals(host));
            planners.values().forEach(p -> p.updatePeers(List.copyOf(peers)));
        }

        // Asserts that every surviving host holds every chunk.
        private void assertComplete() {
            planners.forEach(
                    (host, p) ->
                            Assert.assertTrue(
                                    p.isComplete(),
                                    host + " holds " + p.heldCount() + " of " + CHUNK_COUNT));
        }
    }
}
