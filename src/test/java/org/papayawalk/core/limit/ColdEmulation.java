package org.papayawalk.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Entries whose callers wait all the time, and upstreams that stay cold. Each entry learns of the
 * others late, its clock differs from theirs, and for a while two groups do not hear of each other.
 * Time is virtual. Confined to one thread.
 */
final class ColdEmulation {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static final Duration STEP = Duration.ofMillis(10);

    /** Time after which all entries know each other. */
    private static final Duration SETTLED = ColdUpstreams.DISCOVERY.plusSeconds(2);

    private static final Duration SPLIT = Duration.ofSeconds(5);

    private static final Duration LENGTH = Duration.ofSeconds(25);

    private final List<Entry> entries = new ArrayList<>();

    private final List<UpstreamProcess> upstreams = new ArrayList<>();

    private final Map<UpstreamProcess, Deque<Instant>> lastSecond = new HashMap<>();

    private final Map<UpstreamProcess, Integer> sent = new HashMap<>();

    private final Random random;

    private final double perSecond;

    private int mostInOneSecond;

    /**
     * Creates entries and upstreams.
     *
     * @param entryCount number of entries
     * @param upstreamCount number of cold upstreams
     * @param perSecond requests per second that one tolerates
     * @param bound bound of the platform
     * @param seed seed of all random numbers
     */
    ColdEmulation(int entryCount, int upstreamCount, double perSecond, ColdBound bound, long seed) {
        this.random = new Random(seed);
        this.perSecond = perSecond;
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry(i, bound));
        }
        for (int i = 0; i < upstreamCount; i++) {
            UpstreamProcess process = new UpstreamProcess(new UpstreamId("i-" + seed + "-" + i), 1);
            upstreams.add(process);
            lastSecond.put(process, new ArrayDeque<>());
        }
    }

    /** Plays some 20 seconds in which every entry sends all that it may. */
    void run() {
        Instant splitAt = START.plus(SETTLED).plusSeconds(5);
        for (Instant t = START; t.isBefore(START.plus(LENGTH)); t = t.plus(STEP)) {
            boolean split = !t.isBefore(splitAt) && t.isBefore(splitAt.plus(SPLIT));
            if (t.toEpochMilli() % 500 == 0) {
                for (Entry e : entries) {
                    e.hear(split, t);
                }
            }
            List<Entry> order = new ArrayList<>(entries);
            Collections.shuffle(order, random);
            for (Entry e : order) {
                for (UpstreamProcess u : upstreams) {
                    e.send(u, t);
                }
            }
        }
    }

    /**
     * Returns the most requests that one upstream got within one second.
     *
     * @return number of requests from all entries
     */
    int mostInOneSecond() {
        return mostInOneSecond;
    }

    /**
     * Returns how much of the tolerated rate was used once all entries knew each other.
     *
     * @return least share among the upstreams
     */
    double leastUsed() {
        double seconds = LENGTH.minus(SETTLED).toMillis() / 1000.0;
        return upstreams.stream()
                .mapToDouble(u -> sent.getOrDefault(u, 0) / (perSecond * seconds))
                .min()
                .orElseThrow();
    }

    private void arrive(UpstreamProcess upstream, Instant at) {
        Deque<Instant> times = lastSecond.get(upstream);
        times.addLast(at);
        while (!times.getFirst().plusSeconds(1).isAfter(at)) {
            times.removeFirst();
        }
        mostInOneSecond = Math.max(mostInOneSecond, times.size());
        if (at.isAfter(START.plus(SETTLED))) {
            sent.merge(upstream, 1, Integer::sum);
        }
    }

    private final class Entry {
        private final int index;

        private final HostId host;

        /** Difference of the clock of this entry. */
        private final Duration offset;

        /** When each other entry has become known. */
        private final Duration discoveredAfter;

        private final ColdUpstreams cold;

        private Set<HostId> others = Set.of();

        Entry(int index, ColdBound bound) {
            this.index = index;
            this.host = new HostId("10.0.0." + index);
            this.offset = Duration.ofMillis(random.nextInt(60_000));
            this.discoveredAfter = Duration.ofMillis(random.nextInt(4500));
            this.cold = new ColdUpstreams(host, () -> others, bound, START.plus(offset));
        }

        void hear(boolean split, Instant t) {
            Set<HostId> heard = new HashSet<>();
            for (Entry e : entries) {
                boolean reachable = !split || e.index % 2 == index % 2;
                boolean known = START.plus(e.discoveredAfter).isBefore(t);
                if (e != this && reachable && known) {
                    heard.add(e.host);
                }
            }
            others = heard;
        }

        void send(UpstreamProcess upstream, Instant t) {
            Instant now = t.plus(offset);
            if (cold.admits(upstream, perSecond, now)) {
                cold.sent(upstream, perSecond, now);
                arrive(upstream, t);
            }
        }
    }
}
