package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Emulates entries that send requests to upstreams which leave, refuse requests for a while and are
 * replaced, on virtual time. A request waits in its entry and for its connection, and messages take
 * time on the way. Notes each request that an upstream should not have got. A process states
 * nothing to an entry that takes it for the one before it. Not thread-safe.
 */
final class WithheldEmulation {
    private static final int MEAN_REQUEST_INTERVAL_MILLIS = 30;

    private static final int MAX_QUEUE_MILLIS = 700;

    private static final int MAX_CONNECT_MILLIS = 600;

    private static final int MAX_SERVICE_MILLIS = 900;

    private static final int MAX_DELAY_STATED_MILLIS = 6000;

    private static final int USUAL_LINK_MILLIS = 20;

    private static final int SLOW_LINK_MILLIS = 240;

    private static final int MAX_VIEW_LAG_MILLIS = 1500;

    /** What may happen to an entry. */
    enum Trouble {
        /** The process ends, and starts again without what it knew. */
        RESTART,
        /** The process stands still, and so does its clock. */
        FREEZE,
        /** Nothing passes between the entry and the upstreams. */
        CUT,
        /** Messages between the entry and the upstreams take long. This excuses nothing. */
        SLOW
    }

    /** What may happen to an upstream. */
    enum Change {
        /** Its answers state that it leaves. */
        LEAVE,
        /** It refuses requests for a while. */
        REFUSE,
        /** Another process takes its id and address. */
        REPLACE,
        /** Its row is missing for a while. */
        LOSE_ROW
    }

    private final SplittableRandom random;

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparing(Step::at).thenComparing(Step::order));

    private final List<Entry> entries = new ArrayList<>();

    private final Map<UpstreamId, Upstream> upstreams = new HashMap<>();

    private final List<String> violations = new ArrayList<>();

    private Instant now = Instant.EPOCH;

    private long stepCount;

    private int arrivals;

    /**
     * Creates an emulation in which all entries know all upstreams.
     *
     * @param entryCount number of entries
     * @param upstreamCount number of upstreams
     * @param seed seed of delays and choices
     */
    WithheldEmulation(int entryCount, int upstreamCount, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < upstreamCount; i++) {
            Upstream u = new Upstream(new UpstreamId("i-" + i));
            upstreams.put(u.id, u);
        }
        for (int i = 0; i < entryCount; i++) {
            Entry e = new Entry();
            entries.add(e);
            upstreams.values().forEach(e::read);
            receiveRequest(e);
        }
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
        Instant until = now.plus(lasting);
        switch (trouble) {
            case RESTART -> {
                e.restart();
                e.pausedUntil = until;
                e.checker.stopped(until);
                upstreams.values().forEach(u -> onEntry(e, 0, () -> e.read(u)));
            }
            case FREEZE -> {
                Instant from = e.pausedUntil.isAfter(now) ? e.pausedUntil : now;
                e.pausedUntil = from.plus(lasting);
                e.frozenFor = e.frozenFor.plus(lasting);
                e.checker.stopped(e.pausedUntil);
            }
            case CUT -> {
                e.cutUntil = e.cutUntil.isAfter(until) ? e.cutUntil : until;
                e.checker.cut(e.cutUntil);
            }
            default -> e.slowUntil = until;
        }
    }

    /**
     * Changes the state of an upstream.
     *
     * @param index number of the upstream
     * @param change what happens
     * @param lasting how long it lasts; ignored for changes that last
     */
    void change(int index, Change change, Duration lasting) {
        Upstream u = upstreams.get(new UpstreamId("i-" + index));
        switch (change) {
            case LEAVE -> u.leaving = true;
            case REFUSE -> u.refusingUntil = now.plus(lasting);
            case REPLACE -> {
                u.incarnation++;
                u.leaving = false;
                u.refusingUntil = now;
                publish(u);
            }
            default -> {
                u.rowMissing = true;
                publish(u);
                after(lasting.toMillis(), () -> restoreRow(u));
            }
        }
    }

    /**
     * Lets time pass.
     *
     * @param time time
     */
    void run(Duration time) {
        Instant end = now.plus(time);
        while (!steps.peek().at().isAfter(end)) {
            Step next = steps.remove();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    /**
     * Returns the requests that upstreams should not have got.
     *
     * @return descriptions
     */
    List<String> violations() {
        return violations;
    }

    /**
     * Returns how many requests have arrived at upstreams.
     *
     * @return number of requests
     */
    int arrivals() {
        return arrivals;
    }

    /**
     * Returns whether each entry may send to each process that does not leave.
     *
     * @return false if an entry withholds requests from a process that would take them
     */
    boolean allUsed() {
        return entries.stream()
                .allMatch(
                        e ->
                                upstreams.values().stream()
                                        .filter(u -> !u.leaving)
                                        .noneMatch(
                                                u ->
                                                        e.withheld.isWithheld(
                                                                u.process(), e.clock())));
    }

    private void publish(Upstream u) {
        for (Entry e : entries) {
            onEntry(e, random.nextInt(MAX_VIEW_LAG_MILLIS), () -> e.read(u));
        }
    }

    private void restoreRow(Upstream u) {
        u.rowMissing = false;
        publish(u);
    }

    private void receiveRequest(Entry e) {
        Instant sentAt = now;
        onEntry(e, random.nextInt(MAX_QUEUE_MILLIS), () -> place(e, sentAt));
        after(random.nextInt(1, 2 * MEAN_REQUEST_INTERVAL_MILLIS), () -> receiveRequest(e));
    }

    private void place(Entry e, Instant sentAt) {
        List<UpstreamProcess> candidates =
                e.view.values().stream()
                        .filter(p -> !e.withheld.isWithheld(p, e.clock()))
                        .sorted(Comparator.comparing(p -> p.id().value()))
                        .toList();
        if (candidates.isEmpty()) {
            return;
        }
        UpstreamProcess chosen = candidates.get(random.nextInt(candidates.size()));
        if (random.nextBoolean()) {
            write(e, chosen, chosen, sentAt);
            return;
        }
        onEntry(e, random.nextInt(MAX_CONNECT_MILLIS), () -> connected(e, chosen, sentAt));
    }

    // A new connection reaches the present process, a pooled one only the process chosen.
    private void connected(Entry e, UpstreamProcess chosen, Instant sentAt) {
        if (!e.cutUntil.isAfter(now)) {
            write(e, chosen, upstreams.get(chosen.id()).process(), sentAt);
        }
    }

    private void write(Entry e, UpstreamProcess chosen, UpstreamProcess connected, Instant sentAt) {
        boolean listed = chosen.equals(e.view.get(chosen.id()));
        if (!listed || e.withheld.isWithheld(chosen, e.clock())) {
            place(e, sentAt);
            return;
        }
        after(e.linkMillis(), () -> arrive(e, chosen, connected, sentAt));
    }

    private void arrive(
            Entry e, UpstreamProcess chosen, UpstreamProcess connected, Instant sentAt) {
        Upstream u = upstreams.get(chosen.id());
        if (!u.process().equals(connected)) {
            return;
        }
        arrivals++;
        e.checker.arrived(connected, sentAt, now);
        boolean refused = u.refusingUntil.isAfter(now);
        int serviceMillis = refused ? 0 : random.nextInt(MAX_SERVICE_MILLIS);
        after(serviceMillis, () -> answer(e, chosen, connected, refused));
    }

    private void answer(
            Entry e, UpstreamProcess chosen, UpstreamProcess connected, boolean refused) {
        Upstream u = upstreams.get(chosen.id());
        if (!u.process().equals(connected)) {
            return;
        }
        boolean known = chosen.equals(connected);
        boolean leaving = known && u.leaving;
        Duration delay = Duration.ofMillis(random.nextInt(MAX_DELAY_STATED_MILLIS));
        boolean statesDelay = known && refused && random.nextInt(4) > 0;
        if (statesDelay) {
            e.checker.refused(connected, delay, now);
        }
        onEntry(
                e,
                e.linkMillis(),
                () -> {
                    if (leaving) {
                        e.withheld.leaving(chosen);
                        e.checker.left(connected, now);
                    }
                    if (statesDelay) {
                        e.withheld.refusing(chosen, delay, e.clock());
                    }
                });
    }

    private void after(long millis, Runnable task) {
        steps.add(new Step(now.plusMillis(millis), stepCount++, task));
    }

    // Runs a task in an entry unless its process ends before; later if it stands still.
    private void onEntry(Entry e, long millis, Runnable task) {
        int start = e.startCount;
        after(millis, () -> runOnEntry(e, start, task));
    }

    private void runOnEntry(Entry e, int start, Runnable task) {
        if (e.startCount != start) {
            return;
        }
        if (!e.pausedUntil.isAfter(now)) {
            task.run();
            return;
        }
        after(Duration.between(now, e.pausedUntil).toMillis(), () -> runOnEntry(e, start, task));
    }

    /**
     * Step of the emulation.
     *
     * @param at when it happens
     * @param order order of steps at the same time
     * @param task what happens
     */
    private record Step(Instant at, long order, Runnable task) {}

    /** Upstream, whose processes follow each other at one address. */
    private static final class Upstream {
        private final UpstreamId id;

        private long incarnation = 1;

        private boolean leaving;

        private boolean rowMissing;

        private Instant refusingUntil = Instant.EPOCH;

        private Upstream(UpstreamId id) {
            this.id = id;
        }

        private UpstreamProcess process() {
            return new UpstreamProcess(id, incarnation);
        }
    }

    /** Entry with its own clock. */
    private final class Entry {
        private final WithheldChecker checker = new WithheldChecker(violations);

        // Processes by the rows that the entry has read.
        private final Map<UpstreamId, UpstreamProcess> view = new HashMap<>();

        private WithheldUpstreams withheld = new WithheldUpstreams();

        private int startCount;

        private Duration frozenFor = Duration.ZERO;

        // End of the last time in which the process did nothing.
        private Instant pausedUntil = Instant.EPOCH;

        private Instant cutUntil = Instant.EPOCH;

        private Instant slowUntil = Instant.EPOCH;

        private void restart() {
            startCount++;
            withheld = new WithheldUpstreams();
            view.clear();
        }

        private void read(Upstream u) {
            if (u.rowMissing) {
                view.remove(u.id);
            } else {
                view.put(u.id, u.process());
            }
        }

        private Instant clock() {
            return now.minus(frozenFor);
        }

        private long linkMillis() {
            int most = slowUntil.isAfter(now) ? SLOW_LINK_MILLIS : USUAL_LINK_MILLIS;
            long cutMillis = Math.max(0, Duration.between(now, cutUntil).toMillis());
            return cutMillis + random.nextInt(1, most);
        }
    }
}
