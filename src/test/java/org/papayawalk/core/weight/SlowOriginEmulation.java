package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.place.RequestedVersion;

/**
 * Emulates relays of five regions that fetch a version of 48 chunks from an origin of 9 Mbit/s. The
 * origin sends one chunk after the other; relays answer each other after a short delay and announce
 * what they hold. Confined to one thread.
 */
final class SlowOriginEmulation {
    /** Time that the link of the origin needs for the chunks alone. */
    static final Duration COPY_TIME = Duration.ofMillis(2097);

    private static final int CHUNKS = 48;

    /** Time of one chunk on the link, with headers. */
    private static final int CHUNK_MILLIS = 46;

    /** Time until the first bytes of an answer: a new connection and its slow start. */
    private static final int OPEN_MILLIS = 40;

    private static final int MAX_CONNECTIONS = 48;

    private static final int REGIONS = 5;

    private static final int RELAYS_PER_REGION = 3;

    private static final int STEP_MILLIS = 5;

    /** Interval of the ticks and the announcements of a relay. */
    private static final int TICK_MILLIS = 25;

    private static final int ANNOUNCE_MILLIS = 100;

    private static final int PEER_MILLIS = 60;

    private static final int MANIFEST_MILLIS = 70;

    private static final int LATE_JOIN_MILLIS = 700;

    private static final int END_MILLIS = 10_000;

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final Random random;

    private final List<Relay> relays = new ArrayList<>();

    private final List<Call> calls = new ArrayList<>();

    private int sentChunks;

    private int originFreeAt;

    private int idleMillis;

    private int awayFrom = END_MILLIS;

    private int awayUntil = END_MILLIS;

    private final class Relay {
        private final HostId host;
        private final RegionId region;
        private final int startMillis;
        private final BitSet held = new BitSet();
        private SwarmPlanner planner;

        Relay(String host, String region, int startMillis) {
            this.host = new HostId(host);
            this.region = new RegionId(region);
            this.startMillis = startMillis;
        }

        void start(boolean joinedLate) {
            Instant requestedAt = joinedLate ? Instant.MIN : START;
            Optional<RequestedVersion> requested =
                    Optional.of(new RequestedVersion(2, requestedAt));
            boolean just = NewVersionRule.isJustRequested(requested, at(startMillis));
            planner =
                    new SwarmPlanner(
                            host,
                            region,
                            Digest.of(new byte[] {2}),
                            CHUNKS,
                            new SwarmPlannerSettings(
                                    DistributionPolicy.BYTES,
                                    relays.get(0).region,
                                    4,
                                    OriginShare.requestsPerHost(MAX_CONNECTIONS, RELAYS_PER_REGION),
                                    true,
                                    just ? Duration.ZERO : SwarmPlannerSettings.OFFER_WAIT),
                            new SplittableRandom(random.nextLong()),
                            at(startMillis));
        }
    }

    private record Call(Relay from, FetchRequest request, int endMillis, boolean fails) {}

    /**
     * Creates an emulation.
     *
     * @param seed seed of the times of start
     * @param joinsLate whether the last relay of the origin's region starts late
     */
    SlowOriginEmulation(long seed, boolean joinsLate) {
        random = new Random(seed);
        for (int r = 0; r < REGIONS; r++) {
            for (int i = 0; i < RELAYS_PER_REGION; i++) {
                boolean late = joinsLate && r == 0 && i == RELAYS_PER_REGION - 1;
                int start = MANIFEST_MILLIS + i * 30 + random.nextInt(20);
                relays.add(
                        new Relay(
                                "10.%d.0.%d".formatted(r + 1, i + 1),
                                "region-" + r,
                                late ? LATE_JOIN_MILLIS : start));
            }
        }
    }

    /**
     * Takes the origin away: it ends what is in flight and refuses requests.
     *
     * @param from start, since the version was requested
     * @param until end
     */
    void takeOriginAway(Duration from, Duration until) {
        awayFrom = (int) from.toMillis();
        awayUntil = (int) until.toMillis();
    }

    /**
     * Plays until the relays together hold every chunk.
     *
     * @return time since the version was requested
     */
    Duration play() {
        for (int now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            endCalls(now);
            for (Relay r : relays) {
                tick(r, now);
            }
            BitSet all = new BitSet();
            relays.forEach(r -> all.or(r.held));
            if (all.cardinality() == CHUNKS) {
                return Duration.ofMillis(now);
            }
        }
        return Duration.ofMillis(END_MILLIS);
    }

    /**
     * Returns what the origin has sent.
     *
     * @return number of copies
     */
    double copiesSent() {
        return (double) sentChunks / CHUNKS;
    }

    /**
     * Returns how long the link of the origin was idle between two chunks.
     *
     * @return sum of the times
     */
    Duration idle() {
        return Duration.ofMillis(idleMillis);
    }

    private void tick(Relay relay, int now) {
        if (now < relay.startMillis) {
            return;
        }
        if (relay.planner == null) {
            relay.start(relay.startMillis == LATE_JOIN_MILLIS);
        } else if ((now - relay.startMillis) % TICK_MILLIS >= STEP_MILLIS) {
            return;
        }
        relay.planner.updatePeers(
                relays.stream()
                        .filter(r -> r.startMillis != LATE_JOIN_MILLIS || now >= LATE_JOIN_MILLIS)
                        .map(r -> new SwarmPeer(r.host, r.region))
                        .toList());
        for (FetchRequest request : relay.planner.nextRequests(at(now))) {
            calls.add(call(relay, request, now));
        }
        if (now % ANNOUNCE_MILLIS < TICK_MILLIS) {
            relays.stream()
                    .filter(r -> r.planner != null && r != relay)
                    .forEach(r -> announce(relay, r, now));
        }
    }

    private static void announce(Relay from, Relay to, int now) {
        to.planner.updateAvailability(from.host, from.held);
        to.planner.updateFetches(from.host, from.planner.fetches(), at(now));
    }

    private Call call(Relay relay, FetchRequest request, int now) {
        if (!request.source().isOrigin()) {
            return new Call(relay, request, now + PEER_MILLIS, false);
        }
        if (now >= awayFrom && now < awayUntil) {
            return new Call(relay, request, now + STEP_MILLIS, true);
        }
        int end = endAtOrigin(now);
        if (now < awayFrom && end > awayFrom) {
            originFreeAt = awayUntil;
            return new Call(relay, request, awayFrom, true);
        }
        return new Call(relay, request, end, false);
    }

    private int endAtOrigin(int now) {
        int begins = now + OPEN_MILLIS;
        if (sentChunks > 0) {
            idleMillis += Math.max(0, begins - originFreeAt);
        }
        originFreeAt = Math.max(originFreeAt, begins) + CHUNK_MILLIS;
        sentChunks++;
        return originFreeAt;
    }

    private void endCalls(int now) {
        List<Call> ended = calls.stream().filter(c -> c.endMillis <= now).toList();
        calls.removeAll(ended);
        for (Call c : ended) {
            boolean ofOrigin = c.request.source().isOrigin();
            boolean has =
                    ofOrigin
                            ? !c.fails
                            : relays.stream()
                                    .filter(r -> r.host.equals(c.request.source().host()))
                                    .anyMatch(r -> r.held.get(c.request.index()));
            if (has) {
                c.from.held.set(c.request.index());
            }
            FetchResult missing = ofOrigin ? FetchResult.FAILED : FetchResult.BUSY;
            FetchResult result = has ? FetchResult.VERIFIED : missing;
            c.from.planner.recordResult(c.request, result, at(now));
        }
    }

    private static Instant at(int millis) {
        return START.plusMillis(millis);
    }
}
