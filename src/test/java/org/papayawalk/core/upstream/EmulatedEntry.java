package org.papayawalk.core.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * One emulated entry: watcher of the store, follower of a source, and rounds of queries, modelled
 * after the daemon. Times are in milliseconds. Not thread-safe.
 */
final class EmulatedEntry extends EmulatedProcess {
    private static final int DOCUMENT_BYTES = 50_000;

    private static final int SMALL_BYTES = 200;

    private static final int COALESCE_PAUSE = 60;

    private static final int SOURCE_PAUSE = 20;

    private static final int IDLE_PAUSE = 200;

    private static final int ROUND_INTERVAL = 400;

    private static final int ROUND_TIMEOUT = 700;

    private static final int FANOUT = 2;

    private static final int BACKOFF = 1_000;

    // Time after which others know that an entry is gone.
    private static final int LIVE_FOR = 5_000;

    private static final long NEVER = -1_000_000;

    private final int id;

    private final FeedDesign design;

    private final EmulatedStore store;

    private final List<EmulatedEntry> entries;

    private final PollSchedule schedule;

    private final SplittableRandom random;

    private final FeedRole role;

    private final List<EmulatedQuery.Held> held = new ArrayList<>();

    private final long[] backoffUntil;

    private long version;

    // Number of the last call to the store. Answers and timeouts of earlier ones are dropped.
    private int call;

    private long calledAt;

    // Time for which the store may hold the last call.
    private long callWait;

    // Time until which the entry has every change.
    private long completeUntil = NEVER;

    private int failures;

    private boolean pausing;

    // Whether the pause lasts until the next check.
    private boolean awaitingCheck;

    private int round;

    /**
     * Creates an entry that does nothing yet.
     *
     * @param id index in the list of entries
     * @param region index of its region
     * @param design how it follows the store
     * @param network time and links
     * @param store the store
     * @param entries all entries, completed before the start
     * @param total number of entries
     * @param schedule times of the calls
     * @param random source of pauses and choices
     */
    EmulatedEntry(
            int id,
            int region,
            FeedDesign design,
            EmulatedNetwork network,
            EmulatedStore store,
            List<EmulatedEntry> entries,
            int total,
            PollSchedule schedule,
            SplittableRandom random) {
        super(region, network);
        this.id = id;
        this.design = design;
        this.store = store;
        this.entries = entries;
        this.schedule = schedule;
        this.random = random;
        role = new FeedRole(name(), schedule);
        backoffUntil = new long[total];
        Arrays.fill(backoffUntil, NEVER);
    }

    /** Starts the process. */
    void start() {
        sendCall();
        later(random.nextInt(ROUND_INTERVAL), this::round);
        if (design != FeedDesign.STORE_ONLY) {
            later(0, this::follow);
        }
    }

    /**
     * Returns the version that the entry has.
     *
     * @return version, 0 for none
     */
    long version() {
        return version;
    }

    /**
     * Tells whether the entry polls the store.
     *
     * @return true for a source, and for a follower without one
     */
    boolean followsStore() {
        return design == FeedDesign.STORE_ONLY || role.followsStore(network().instant());
    }

    /**
     * Handles the answer of the store to a call.
     *
     * @param number number of the call
     * @param processOfCall process that made it
     * @param read version read
     */
    void callAnswered(int number, int processOfCall, long read) {
        later(
                processOfCall,
                0,
                () -> {
                    if (number == call && !pausing) {
                        recordProof(read);
                        continueAfter(read);
                    }
                });
    }

    @Override
    void restart() {
        version = 0;
        completeUntil = NEVER;
        failures = 0;
        held.clear();
        role.update(List.of());
        Arrays.fill(backoffUntil, NEVER);
        start();
    }

    private void sendCall() {
        pausing = false;
        awaitingCheck = false;
        call++;
        int number = call;
        calledAt = network().now();
        callWait = followsStore() ? storeWait().toMillis() : 0;
        if (isCutFromStore()) {
            store.countLost();
        } else {
            store.call(this, number, life(), version, callWait);
        }
        later(schedule.timeout(Duration.ofMillis(callWait)).toMillis(), () -> callTimedOut(number));
    }

    private Duration storeWait() {
        return role.storeWait(failures, Instant.ofEpochMilli(completeUntil), network().instant());
    }

    // An answer proves its version for the time of the call, or for the end of the wait if it has
    // nothing newer.
    private void recordProof(long read) {
        boolean held = read <= version && calledAt + callWait <= network().now();
        completeUntil = Math.max(completeUntil, held ? calledAt + callWait : calledAt);
    }

    private void callTimedOut(int number) {
        if (number != call || pausing) {
            return;
        }
        failures++;
        pause(schedule.pause(failures, random.nextDouble()).toMillis());
    }

    private void continueAfter(long read) {
        failures = 0;
        boolean news = read > version;
        adopt(read);
        awaitingCheck = !followsStore();
        if (!awaitingCheck) {
            pause(news ? COALESCE_PAUSE : 0);
        } else if (design != FeedDesign.SOURCES_WITHOUT_CHECKS) {
            pauseUntil(() -> lastProof() + schedule.checkInterval().toMillis());
        } else {
            pausing = true;
        }
    }

    private long lastProof() {
        return Math.max(calledAt, completeUntil);
    }

    private void pause(long millis) {
        long until = network().now() + millis;
        pauseUntil(() -> until);
    }

    private void pauseUntil(LongSupplier due) {
        pausing = true;
        int number = call;
        later(
                Math.max(0, due.getAsLong() - network().now()),
                () -> {
                    if (number != call || !pausing) {
                        return;
                    }
                    if (due.getAsLong() > network().now()) {
                        pauseUntil(due);
                    } else {
                        sendCall();
                    }
                });
    }

    // A follower that lost its source does not wait for its next check.
    private void reconsider() {
        if (awaitingCheck && followsStore()) {
            sendCall();
        }
    }

    private void follow() {
        role.update(known());
        Optional<String> source = role.source(network().instant());
        reconsider();
        if (source.isEmpty()) {
            later(IDLE_PAUSE, this::follow);
            return;
        }
        Duration wait = role.sourceWait(Instant.ofEpochMilli(completeUntil), network().instant());
        long timeout = wait.plus(schedule.sourceTimeout()).toMillis();
        query(source.get(), wait.toMillis(), timeout, true, ok -> sourceReplied(source.get(), ok));
    }

    private void sourceReplied(String source, boolean answered) {
        if (answered) {
            role.answered(source, network().instant());
        } else {
            role.failed(source);
        }
        reconsider();
        later(answered ? SOURCE_PAUSE : 0, this::follow);
    }

    private void round() {
        later(ROUND_INTERVAL, this::round);
        round++;
        List<String> own = queryable(true);
        List<String> others = queryable(false);
        if (design == FeedDesign.STORE_ONLY) {
            List<String> any = new ArrayList<>(own);
            any.addAll(others);
            for (int i = 0; i < FANOUT && !any.isEmpty(); i++) {
                query(any.remove(random.nextInt(any.size())), 0, ROUND_TIMEOUT, true, ok -> {});
            }
            return;
        }
        boolean inContact = failures == 0 && version > 0;
        for (QueryRound.Query q : QueryRound.choose(own, others, round, inContact, random)) {
            query(q.target(), 0, ROUND_TIMEOUT, q.rows(), ok -> {});
        }
    }

    private void query(
            String address, long wait, long timeout, boolean rows, Consumer<Boolean> done) {
        EmulatedEntry target = entries.get(Integer.parseInt(address));
        boolean[] over = {false};
        long after = rows ? version : Long.MAX_VALUE;
        EmulatedQuery q = new EmulatedQuery(this, life(), after, network().now(), over, done);
        send(target, SMALL_BYTES, () -> target.queried(q, wait));
        later(timeout, () -> queryTimedOut(target, q));
    }

    private void queryTimedOut(EmulatedEntry target, EmulatedQuery q) {
        if (!q.over()[0]) {
            q.over()[0] = true;
            backoffUntil[target.id] = network().now() + BACKOFF;
            q.done().accept(false);
        }
    }

    private void queried(EmulatedQuery q, long wait) {
        if (wait == 0 || version > q.after()) {
            reply(q, 0);
            return;
        }
        EmulatedQuery.Held h = new EmulatedQuery.Held(q, network().now());
        held.add(h);
        later(
                wait,
                () -> {
                    if (held.remove(h)) {
                        reply(q, network().now() - h.since());
                    }
                });
    }

    private void reply(EmulatedQuery q, long heldFor) {
        boolean news = version > q.after();
        long age = design == FeedDesign.SOURCES_TRUSTED ? 0 : network().now() - completeUntil;
        EmulatedQuery.Reply reply =
                new EmulatedQuery.Reply(news ? version : 0, version, age, heldFor);
        send(
                q.from(),
                SMALL_BYTES + (news ? DOCUMENT_BYTES : 0),
                () -> q.from().queryAnswered(this, q, reply));
    }

    private void queryAnswered(EmulatedEntry target, EmulatedQuery q, EmulatedQuery.Reply reply) {
        if (q.over()[0] || q.life() != life()) {
            return;
        }
        q.over()[0] = true;
        backoffUntil[target.id] = NEVER;
        adopt(reply.sent());
        if (version >= reply.proven()) {
            completeUntil = Math.max(completeUntil, q.sentAt() + reply.held() - reply.age());
        }
        q.done().accept(true);
    }

    private void adopt(long read) {
        if (read <= version) {
            return;
        }
        version = read;
        List<EmulatedQuery.Held> ready =
                held.stream().filter(h -> h.query().after() < version).toList();
        held.removeAll(ready);
        ready.forEach(h -> reply(h.query(), network().now() - h.since()));
    }

    // The entries of the region from which this one chooses sources.
    private List<String> known() {
        return queryable(true).stream()
                .filter(a -> design != FeedDesign.DISAGREEMENT || knows(Integer.parseInt(a)))
                .toList();
    }

    private boolean knows(int other) {
        return new SplittableRandom(id * 1_000L + other).nextBoolean();
    }

    private List<String> queryable(boolean own) {
        long now = network().now();
        return entries.stream()
                .filter(e -> e != this && (e.region() == region()) == own)
                .filter(e -> e.goneAt() > now - LIVE_FOR)
                .filter(e -> backoffUntil[e.id] <= now)
                .map(EmulatedEntry::name)
                .toList();
    }

    private String name() {
        return Integer.toString(id);
    }
}
