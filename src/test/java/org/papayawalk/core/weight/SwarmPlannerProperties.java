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

/** Properties of {@link SwarmPlanner}: every surviving host ends with every chunk. */
final class SwarmPlannerProperties {
    /** Region of all hosts. */
    private static final RegionId REGION = new RegionId("main");

    /** Chunks of the version. */
    private static final int CHUNKS = 24;

    /** Time of a step. */
    private static final Duration STEP = Duration.ofMillis(100);

    /** Steps after which a swarm must be complete. */
    private static final int MAX_STEPS = 1200;

    /**
     * All hosts complete with one origin copy while no host fails.
     *
     * @param hosts number of hosts
     * @param seed seed of the choices
     */
    @Property(tries = 60, seed = "20261203")
    void oneOriginCopyWithoutFailures(
            @ForAll @IntRange(min = 2, max = 14) int hosts, @ForAll long seed) {
        Swarm swarm = new Swarm(hosts, DistributionPolicy.BYTES, seed, 0);
        swarm.run(MAX_STEPS);
        swarm.assertComplete();
        Assert.assertEquals(swarm.originChunks, CHUNKS);
    }

    /**
     * Policy {@code TIME} spends at most one more copy.
     *
     * @param hosts number of hosts
     * @param seed seed of the choices
     */
    @Property(tries = 60, seed = "20261203")
    void atMostTwoOriginCopiesWithPolicyTime(
            @ForAll @IntRange(min = 2, max = 14) int hosts, @ForAll long seed) {
        Swarm swarm = new Swarm(hosts, DistributionPolicy.TIME, seed, 0);
        swarm.run(MAX_STEPS);
        swarm.assertComplete();
        Assert.assertTrue(swarm.originChunks <= 2 * CHUNKS, "chunks " + swarm.originChunks);
    }

    /**
     * Survivors complete although hosts die, peers send corrupt bytes and answers are lost.
     *
     * @param hosts number of hosts
     * @param faultPercent share of answers that fail
     * @param killed hosts that die on the way
     * @param seed seed of the choices
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

    /** Hosts with downloads and a clock that moves by steps. */
    private static final class Swarm {
        /** Downloads by host, in a stable order. */
        private final Map<HostId, SwarmPlanner> downloads = new TreeMap<>();

        /** Chunks held by host. */
        private final Map<HostId, BitSet> held = new HashMap<>();

        /** Hosts that take part. */
        private final List<SwarmPeer> peers = new ArrayList<>();

        /** Source of faults. */
        private final SplittableRandom random;

        /** Share of answers that fail, in percent. */
        private final long faultPercent;

        /** Present time. */
        private Instant now = Instant.EPOCH;

        /** Chunks that left the origin. */
        private int originChunks;

        /**
         * Creates a swarm.
         *
         * @param hosts number of hosts
         * @param policy policy
         * @param seed seed of the choices
         * @param faultPercent share of answers that fail
         */
        private Swarm(int hosts, DistributionPolicy policy, long seed, long faultPercent) {
            this.random = new SplittableRandom(seed);
            this.faultPercent = faultPercent;
            for (int i = 0; i < hosts; i++) {
                peers.add(new SwarmPeer(new HostId("host-" + i), REGION));
            }
            SwarmPlannerSettings settings = new SwarmPlannerSettings(policy, REGION, 4, 2);
            Digest digest = Digest.of(new byte[] {1});
            for (SwarmPeer p : peers) {
                SwarmPlanner d =
                        new SwarmPlanner(
                                p.host(), REGION, digest, CHUNKS, settings, random.split(), now);
                d.updatePeers(peers);
                downloads.put(p.host(), d);
                held.put(p.host(), new BitSet());
            }
        }

        /**
         * Lets time pass until all are complete.
         *
         * @param steps most steps
         */
        private void run(int steps) {
            for (int i = 0; i < steps; i++) {
                now = now.plus(STEP);
                exchangeOffers();
                downloads.forEach(
                        (host, d) -> d.nextRequests(now).forEach(order -> answer(host, d, order)));
            }
        }

        /** Tells every host's neighbours what it holds. */
        private void exchangeOffers() {
            downloads.forEach(
                    (host, d) -> {
                        for (HostId n : d.neighbors()) {
                            if (downloads.containsKey(n)) {
                                downloads.get(n).updateAvailability(host, held.get(host));
                            }
                        }
                    });
        }

        /**
         * Answers a request.
         *
         * @param host host that asks
         * @param d its download
         * @param order request
         */
        private void answer(HostId host, SwarmPlanner d, FetchRequest order) {
            FetchResult result = FetchResult.VERIFIED;
            if (order.source().isOrigin()) {
                originChunks++;
            } else if (!downloads.containsKey(order.source().host())) {
                result = FetchResult.FAILED;
            } else if (!held.get(order.source().host()).get(order.index())) {
                boolean coming = downloads.get(order.source().host()).fetches(order.index());
                result = coming ? FetchResult.BUSY : FetchResult.NOT_HELD;
            }
            if (result == FetchResult.VERIFIED && random.nextInt(100) < faultPercent) {
                result = random.nextBoolean() ? FetchResult.CORRUPT : FetchResult.FAILED;
            }
            if (result == FetchResult.VERIFIED) {
                held.get(host).set(order.index());
            }
            d.recordResult(order, result, now);
        }

        /**
         * Kills a host.
         *
         * @param index number of the host
         */
        private void kill(int index) {
            HostId host = new HostId("host-" + index);
            downloads.remove(host);
            peers.removeIf(p -> p.host().equals(host));
            downloads.values().forEach(d -> d.updatePeers(List.copyOf(peers)));
        }

        /** Asserts that every host that takes part has every chunk. */
        private void assertComplete() {
            downloads.forEach(
                    (host, d) ->
                            Assert.assertTrue(
                                    d.isComplete(),
                                    host + " has " + d.heldCount() + " of " + CHUNKS));
        }
    }
}
