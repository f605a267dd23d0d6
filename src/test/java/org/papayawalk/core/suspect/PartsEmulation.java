package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Emulates entries that tell each other what they observe of parts of prompts, and upstreams that
 * crash when they begin to answer requests with a bad one, on virtual time. Not thread-safe.
 */
final class PartsEmulation {
    private static final int GOSSIP_MILLIS = 400;

    private static final int GOSSIP_FANOUT = 2;

    private static final int VIEW_MILLIS = 200;

    private static final int SAMPLE_MILLIS = 1000;

    private static final int MAX_LINK_MILLIS = 6;

    // Time for which a request waits for a slot, and after which it looks for one again.
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private static final int WAIT_MILLIS = 50;

    private final PartsScenario scenario;

    private final PartsChecker checker;

    private final SplittableRandom random;

    private final PartsTraffic traffic;

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparing(Step::at).thenComparing(Step::order));

    private final List<PartsEntry> entries;

    private final List<PartsUpstream> upstreams;

    private Instant now = Instant.EPOCH;

    private long stepCount;

    /**
     * Creates an emulation.
     *
     * @param scenario what happens
     * @param checker notes what breaks a rule
     */
    PartsEmulation(PartsScenario scenario, PartsChecker checker) {
        this.scenario = scenario;
        this.checker = checker;
        random = new SplittableRandom(scenario.seed()).split();
        traffic = new PartsTraffic(scenario.kinds(), random.split());
        entries = IntStream.range(0, scenario.entries()).mapToObj(PartsEntry::new).toList();
        upstreams = IntStream.range(0, scenario.upstreams()).mapToObj(PartsUpstream::new).toList();
    }

    /** Plays the scenario from beginning to end. */
    void run() {
        for (PartsEntry e : entries) {
            after(random.nextInt(VIEW_MILLIS), () -> view(e));
            after(random.nextInt(GOSSIP_MILLIS), () -> gossip(e));
            after(random.nextInt(SAMPLE_MILLIS), () -> sample(e));
        }
        after(0, this::sendSound);
        for (BadPart b : scenario.badParts()) {
            Instant start = b.answeredBefore() ? b.from().minusSeconds(5) : b.from();
            after(start.toEpochMilli(), () -> sendBad(b));
        }
        scenario.faults().forEach(f -> after(f.at().toEpochMilli(), () -> bring(f)));
        Instant end = Instant.EPOCH.plus(PartsScenario.TIME);
        while (!steps.isEmpty() && !steps.peek().at().isAfter(end)) {
            Step next = steps.remove();
            now = next.at();
            next.task().run();
        }
    }

    private void sendSound() {
        receive(traffic.next());
        after(interval(scenario.perSecond()), this::sendSound);
    }

    private void sendBad(BadPart b) {
        if (now.isBefore(b.until())) {
            receive(b.request(traffic.next(b.kind())));
            after(interval(b.perSecond()), () -> sendBad(b));
        }
    }

    private long interval(double perSecond) {
        return Math.round(-Math.log(1 - random.nextDouble()) * 1000 / perSecond);
    }

    private void receive(PartsRequest r) {
        List<PartsEntry> up = entries.stream().filter(e -> !e.down).toList();
        if (up.isEmpty()) {
            return;
        }
        PartsEntry e = up.get(random.nextInt(up.size()));
        checker.received(r, now);
        onEntry(e, 0, () -> admit(e, r));
    }

    private void admit(PartsEntry e, PartsRequest r) {
        if (e.registry.verdict(r.parts, e.clock(now)) == PartVerdict.REFUSED) {
            refuse(e, r);
        } else {
            send(e, r, now.plus(MAX_WAIT));
        }
    }

    private void send(PartsEntry e, PartsRequest r, Instant waitUntil) {
        PartVerdict verdict = e.registry.verdict(r.parts, e.clock(now));
        if (verdict == PartVerdict.REFUSED || (r.resent && verdict != PartVerdict.CLEAR)) {
            refuse(e, r);
            return;
        }
        List<PartsUpstream> free = upstreams.stream().filter(PartsUpstream::hasRoom).toList();
        if (free.isEmpty()) {
            if (now.isBefore(waitUntil)) {
                onEntry(e, WAIT_MILLIS, () -> send(e, r, waitUntil));
            }
            return;
        }
        if (verdict == PartVerdict.TRIAL && !e.registry.beginTrial(r.parts, e.clock(now))) {
            refuse(e, r);
            return;
        }
        PartsUpstream a = free.get(random.nextInt(free.size()));
        PartsUpstream b = free.get(random.nextInt(free.size()));
        start(a.attempts.size() <= b.attempts.size() ? a : b, e, r);
    }

    private void refuse(PartsEntry e, PartsRequest r) {
        checker.refused(r);
        if (!r.repeated && !r.resent) {
            Duration delay = e.registry.retryAfter(r.parts, e.clock(now));
            after(delay.toMillis(), () -> receive(r.again()));
        }
    }

    private void start(PartsUpstream u, PartsEntry e, PartsRequest r) {
        checker.reached(r, e.index, e.isInTouch(now), now);
        PartsUpstream.Attempt attempt = new PartsUpstream.Attempt(r, e, u.process);
        u.attempts.add(attempt);
        after(random.nextInt(50, 401), () -> begin(u, attempt));
    }

    private void begin(PartsUpstream u, PartsUpstream.Attempt attempt) {
        if (attempt.lost) {
            return;
        }
        attempt.request.begun = true;
        PartsEntry e = attempt.entry;
        onEntry(e, link(), () -> attempt.begunAt = e.clock(now));
        for (BadPart b : scenario.badParts()) {
            if (b.crashes(attempt.request, now)) {
                after(random.nextInt(20, 201), () -> crash(u, attempt, b));
                return;
            }
        }
        after(random.nextInt(400, 2001), () -> complete(u, attempt));
    }

    private void complete(PartsUpstream u, PartsUpstream.Attempt attempt) {
        if (!attempt.lost) {
            u.attempts.remove(attempt);
            PartsEntry e = attempt.entry;
            onEntry(e, link(), () -> recordAnswer(e, attempt));
        }
    }

    // After a freeze the entry may read begin and end at the same moment, in any order.
    private void recordAnswer(PartsEntry e, PartsUpstream.Attempt attempt) {
        Instant begunAt = attempt.begunAt == null ? e.clock(now) : attempt.begunAt;
        e.registry.recordAnswer(attempt.request.parts, begunAt);
    }

    private void crash(PartsUpstream u, PartsUpstream.Attempt attempt, BadPart cause) {
        if (!attempt.lost) {
            checker.crashed(cause, now);
            crash(u);
        }
    }

    private void crash(PartsUpstream u) {
        if (!u.running) {
            return;
        }
        u.running = false;
        List<PartsUpstream.Attempt> lost = u.attempts;
        u.attempts = new ArrayList<>();
        for (PartsUpstream.Attempt a : lost) {
            a.lost = true;
            onEntry(a.entry, MAX_LINK_MILLIS, () -> lose(a));
        }
        boolean sameId = random.nextInt(3) == 0;
        after(random.nextInt(2000, 4001), () -> u.start(sameId));
    }

    private void lose(PartsUpstream.Attempt a) {
        if (a.begunAt != null) {
            a.entry.registry.recordCrash(a.request.parts, a.process, a.entry.clock(now));
        }
        if (!a.request.resent) {
            a.request.resent = true;
            send(a.entry, a.request, now.plus(MAX_WAIT));
        }
    }

    private void view(PartsEntry e) {
        for (PartsEntry o : entries) {
            if (o != e && e.isReachable(now) && o.isReachable(now)) {
                e.heard(o.host, now);
            }
        }
        after(VIEW_MILLIS, () -> view(e));
    }

    private void gossip(PartsEntry e) {
        for (int i = 0; e.isReachable(now) && i < GOSSIP_FANOUT; i++) {
            PartsEntry o = entries.get(random.nextInt(entries.size()));
            List<PartEvidence> evidence = e.registry.evidence(e.clock(now));
            if (o != e && !o.down && !o.cutUntil.isAfter(now)) {
                int lag = random.nextInt(3, scenario.maxLagMillis() + 1);
                onEntry(o, lag, () -> o.registry.merge(evidence, o.clock(now)));
            }
        }
        after(GOSSIP_MILLIS, () -> gossip(e));
    }

    private void sample(PartsEntry e) {
        if (!e.pausedUntil.isAfter(now)) {
            checker.wanted(now)
                    .forEach(
                            p -> {
                                PartVerdict v = e.registry.verdict(List.of(p), e.clock(now));
                                checker.sampled(e.host, p, v == PartVerdict.REFUSED, now);
                            });
        }
        after(SAMPLE_MILLIS, () -> sample(e));
    }

    private void bring(PartsFault f) {
        switch (f.kind()) {
            case CRASH -> IntStream.range(0, f.count()).forEach(i -> crash(upstreams.get(i)));
            case DOMAIN ->
                    upstreams.stream().filter(u -> u.domain == f.index()).forEach(this::crash);
            case CUT -> entries.get(f.index()).cutUntil = f.until();
            case FREEZE -> {
                PartsEntry e = entries.get(f.index());
                if (!e.pausedUntil.isAfter(now)) {
                    e.pausedUntil = f.until();
                    e.frozenFor = e.frozenFor.plus(f.lasting());
                }
            }
            default -> restart(entries.get(f.index()), f.until());
        }
    }

    private void restart(PartsEntry e, Instant until) {
        e.restart();
        e.down = true;
        e.pausedUntil = until;
        after(Duration.between(now, until).toMillis(), () -> e.down = false);
    }

    private long link() {
        return random.nextInt(1, MAX_LINK_MILLIS);
    }

    private void after(long millis, Runnable task) {
        steps.add(new Step(now.plusMillis(millis), stepCount++, task));
    }

    // Runs a task in an entry unless its process ends before; later if it stands still.
    private void onEntry(PartsEntry e, long millis, Runnable task) {
        int start = e.starts;
        after(millis, () -> runOnEntry(e, start, task));
    }

    private void runOnEntry(PartsEntry e, int start, Runnable task) {
        if (e.starts != start) {
            return;
        }
        if (e.pausedUntil.isAfter(now)) {
            after(
                    Duration.between(now, e.pausedUntil).toMillis(),
                    () -> runOnEntry(e, start, task));
        } else {
            task.run();
        }
    }

    /**
     * Step of the emulation.
     *
     * @param at when it happens
     * @param order order of steps at the same time
     * @param task what happens
     */
    private record Step(Instant at, long order, Runnable task) {}
}
