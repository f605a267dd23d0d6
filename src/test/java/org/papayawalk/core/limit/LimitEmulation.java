package org.papayawalk.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Emulates entries that send as many requests to one upstream as they may, on virtual time. The
 * upstream states a limit while it is in need. Entries tell each other of limits and may be
 * restarted, frozen or cut off from the other entries. Not thread-safe.
 */
final class LimitEmulation {
    /** Time after a fault in which an entry is excused, and after which a limit has to be kept. */
    static final Duration CONTACT = Duration.ofSeconds(3);

    private static final Duration WINDOW = Duration.ofSeconds(4);

    // Requests that a window may hold: a multiple of the limit, and some more.
    private static final double ALLOWED_RATE = 1.5;

    private static final int ALLOWED_REQUESTS = 5;

    private static final Duration STEP = Duration.ofMillis(20);

    private static final Duration VIEW_INTERVAL = Duration.ofMillis(200);

    private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(400);

    private static final int GOSSIP_FANOUT = 2;

    // Time without a sign of life after which an entry does not count as live.
    private static final Duration LIVE_FOR = Duration.ofSeconds(5);

    // Time after an answer that states the limit from which an entry counts as told.
    private static final Duration TOLD_AFTER = Duration.ofMillis(500);

    // Requests that an entry sends before the first answer.
    private static final int MAX_IN_FLIGHT = 8;

    private static final int MIN_LATENCY_MILLIS = 30;

    private static final int MAX_LATENCY_MILLIS = 900;

    private static final Instant START = Instant.EPOCH;

    /** What may happen to an entry. */
    enum Trouble {
        /** The process ends, and starts again without what it knew. */
        RESTART,
        /** The process stands still, and so does its clock. */
        FREEZE,
        /** The entry reaches the upstream, but not the other entries. */
        CUT
    }

    private final SplittableRandom random;

    private final List<Entry> entries = new ArrayList<>();

    private final UpstreamProcess upstream = new UpstreamProcess(new UpstreamId("i-1"), 1);

    private Instant now = START;

    // Limit that answers state, negative if none.
    private double limit = -1;

    // When the limit was first stated, without an end since; null if none is stated.
    private Instant limitedSince;

    // Arrivals of the last window that count.
    private final Deque<Instant> counted = new ArrayDeque<>();

    private int arrivals;

    private double worstExcess = Double.NEGATIVE_INFINITY;

    /**
     * Creates an emulation with running entries that know each other.
     *
     * @param size number of entries
     * @param seed seed of latencies and of the choice of peers
     */
    LimitEmulation(int size, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            entries.add(new Entry(new HostId("10.0.0." + i)));
        }
        entries.forEach(e -> entries.forEach(o -> e.heardAt.put(o.host, START)));
    }

    /**
     * Makes answers state a limit, or none.
     *
     * @param perSecond requests per second, negative for none
     */
    void state(double perSecond) {
        limit = perSecond;
        limitedSince = perSecond < 0 ? null : now;
        counted.clear();
    }

    /**
     * Brings trouble on an entry.
     *
     * @param index number of the entry
     * @param trouble what happens
     * @param lasting how long it lasts
     */
    void trouble(int index, Trouble trouble, Duration lasting) {
        Entry e = entries.get(index);
        e.trouble = trouble;
        e.troubleUntil = now.plus(lasting);
        e.excusedUntil = e.troubleUntil.plus(CONTACT);
        if (trouble == Trouble.RESTART) {
            e.restart();
        }
    }

    /**
     * Lets time pass.
     *
     * @param time time
     */
    void run(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            entries.forEach(this::step);
        }
    }

    /**
     * Returns the requests that have arrived at the upstream.
     *
     * @return number of requests since the last call
     */
    int takeArrivals() {
        int taken = arrivals;
        arrivals = 0;
        return taken;
    }

    /**
     * Returns by how many requests a window held more than allowed.
     *
     * @return largest excess of any window, not above 0 if the limit was kept
     */
    double worstExcess() {
        return worstExcess;
    }

    /**
     * Returns how many entries may send a request now.
     *
     * @return number of entries
     */
    long admittedEntries() {
        return entries.stream().filter(e -> e.limits.admits(upstream, e.clock())).count();
    }

    private void step(Entry e) {
        if (e.trouble != null && !e.troubleUntil.isAfter(now)) {
            e.trouble = null;
        }
        if (e.trouble == Trouble.RESTART) {
            return;
        }
        if (e.trouble == Trouble.FREEZE) {
            e.frozenFor = e.frozenFor.plus(STEP);
            return;
        }
        if (!e.nextViewAt.isAfter(now)) {
            e.nextViewAt = now.plus(VIEW_INTERVAL);
            e.refreshView();
        }
        e.receiveAnswers();
        if (e.trouble != Trouble.CUT && !e.nextGossipAt.isAfter(now)) {
            e.nextGossipAt = now.plus(GOSSIP_INTERVAL);
            for (int i = 0; i < GOSSIP_FANOUT; i++) {
                gossip(e, entries.get(random.nextInt(entries.size())));
            }
        }
        while (e.pending.size() < MAX_IN_FLIGHT && e.limits.admits(upstream, e.clock())) {
            e.limits.sent(upstream, e.clock());
            e.pending.add(new Pending(e.clock(), answerTime(), limit));
            recordArrival(e);
        }
    }

    private Instant answerTime() {
        int latency = random.nextInt(MIN_LATENCY_MILLIS, MAX_LATENCY_MILLIS);
        return now.plusMillis(latency);
    }

    private void gossip(Entry a, Entry b) {
        if (a == b || b.trouble != null) {
            return;
        }
        b.limits.heard(a.limits.notices(a.clock()), b.clock());
        a.limits.heard(b.limits.notices(b.clock()), a.clock());
    }

    private void recordArrival(Entry e) {
        arrivals++;
        boolean told = e.toldAt != null && !e.toldAt.plus(TOLD_AFTER).isAfter(now);
        boolean excused = e.excusedUntil.isAfter(now);
        if (limitedSince == null || limitedSince.plus(CONTACT).isAfter(now) || !told || excused) {
            return;
        }
        counted.add(now);
        while (!counted.peek().plus(WINDOW).isAfter(now)) {
            counted.remove();
        }
        double allowed = ALLOWED_RATE * limit * WINDOW.toSeconds() + ALLOWED_REQUESTS;
        worstExcess = Math.max(worstExcess, counted.size() - allowed);
    }

    /**
     * Request that was sent and not answered.
     *
     * @param sentAt when it was sent, by the clock of the entry
     * @param answeredAt when it is answered
     * @param stated limit that the answer states, negative if none
     */
    private record Pending(Instant sentAt, Instant answeredAt, double stated) {}

    /** Entry with its own clock. */
    private final class Entry {
        private final HostId host;

        private final Map<HostId, Instant> heardAt = new HashMap<>();

        private List<Pending> pending = new ArrayList<>();

        private Set<HostId> others = Set.of();

        private UpstreamLimits limits;

        private Duration frozenFor = Duration.ZERO;

        private Instant nextGossipAt =
                START.plusMillis(random.nextLong(GOSSIP_INTERVAL.toMillis()));

        private Instant nextViewAt = START;

        // First answer that stated the limit to this process; null if none did.
        private Instant toldAt;

        private Trouble trouble;

        private Instant troubleUntil = START;

        private Instant excusedUntil = START;

        private Entry(HostId host) {
            this.host = host;
            restart();
        }

        private void restart() {
            limits = new UpstreamLimits(host, () -> others);
            pending = new ArrayList<>();
            others = Set.of();
            heardAt.clear();
            toldAt = null;
        }

        private Instant clock() {
            return now.minus(frozenFor);
        }

        private void refreshView() {
            for (Entry o : entries) {
                if (o != this && trouble == null && o.trouble == null) {
                    heardAt.put(o.host, now);
                }
            }
            Set<HostId> live = new HashSet<>();
            heardAt.forEach(
                    (h, at) -> {
                        if (!h.equals(host) && at.plus(LIVE_FOR).isAfter(now)) {
                            live.add(h);
                        }
                    });
            if (!live.equals(others)) {
                others = Set.copyOf(live);
            }
        }

        private void receiveAnswers() {
            List<Pending> answered =
                    pending.stream().filter(p -> !p.answeredAt().isAfter(now)).toList();
            pending.removeAll(answered);
            for (Pending p : answered) {
                if (p.stated() < 0) {
                    limits.notStated(upstream, p.sentAt());
                } else {
                    limits.stated(upstream, p.stated(), clock());
                    toldAt = toldAt == null ? now : toldAt;
                }
            }
        }
    }
}
