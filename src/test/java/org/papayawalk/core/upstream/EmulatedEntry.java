package org.papayawalk.core.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One emulated entry: watcher of the store, follower of a source, and rounds of queries, modelled
 * after the daemon. Times are in milliseconds. Not thread-safe.
 */
final class EmulatedEntry extends EmulatedProcess {
    /** How entries follow the store. */
    enum Design {
        /** Every entry polls the store, and asks entries of any region for rows. */
        STORE_ONLY,
        /** A few entries of each region poll the store, the others follow these and check. */
        SOURCES,
        /** As SOURCES, but each entry knows half of its region only, so that they disagree. */
        DISAGREEMENT,
        /** As SOURCES, but nobody checks: wrong, as outdated sources go unnoticed. */
        SOURCES_WITHOUT_CHECKS
    }

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

    // Query that an entry may hold.
    private record Query(
            EmulatedEntry from, int life, long after, boolean[] over, Consumer<Boolean> done) {}

    private final int id;

    private final Design design;

    private final EmulatedStore store;

    private final List<EmulatedEntry> entries;

    private final PollSchedule schedule;

    private final SplittableRandom random;

    private final FeedRole role;

    private final List<Query> held = new ArrayList<>();

    private final long[] backoffUntil;

    private long version;

    // Number of the last call to the store. Answers and timeouts of earlier ones are dropped.
    private int call;

    private long calledAt;

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
            Design design,
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
        if (design != Design.STORE_ONLY) {
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
        return design == Design.STORE_ONLY || role.followsStore(network().instant());
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
                        continueAfter(read);
                    }
                });
    }

    @Override
    void restart() {
        version = 0;
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
        Duration wait = followsStore() ? schedule.wait(failures) : Duration.ZERO;
        if (isCutFromStore()) {
            store.countLost();
        } else {
            store.call(this, number, life(), version, wait.toMillis());
        }
        later(schedule.timeout(wait).toMillis(), () -> callTimedOut(number));
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
        } else if (design != Design.SOURCES_WITHOUT_CHECKS) {
            pause(Math.max(0, calledAt + schedule.checkInterval().toMillis() - network().now()));
        } else {
            pausing = true;
        }
    }

    private void pause(long millis) {
        pausing = true;
        int number = call;
        later(
                millis,
                () -> {
                    if (number == call && pausing) {
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

    private void rowsArrived() {
        boolean due = network().now() - calledAt >= schedule.earliestCheck().toMillis();
        if (design != Design.SOURCES_WITHOUT_CHECKS && awaitingCheck && due) {
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
        Duration wait = role.sourceWait();
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
        if (design == Design.STORE_ONLY) {
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
        Query q = new Query(this, life(), rows ? version : Long.MAX_VALUE, over, done);
        send(target, SMALL_BYTES, () -> target.queried(q, wait));
        later(timeout, () -> queryTimedOut(target, q));
    }

    private void queryTimedOut(EmulatedEntry target, Query q) {
        if (!q.over[0]) {
            q.over[0] = true;
            backoffUntil[target.id] = network().now() + BACKOFF;
            q.done.accept(false);
        }
    }

    private void queried(Query q, long wait) {
        if (wait == 0 || version > q.after) {
            reply(q);
            return;
        }
        held.add(q);
        later(
                wait,
                () -> {
                    if (held.remove(q)) {
                        reply(q);
                    }
                });
    }

    private void reply(Query q) {
        boolean news = version > q.after;
        long sent = news ? version : 0;
        send(
                q.from,
                SMALL_BYTES + (news ? DOCUMENT_BYTES : 0),
                () -> q.from.queryAnswered(this, q, sent));
    }

    private void queryAnswered(EmulatedEntry target, Query q, long sent) {
        if (q.over[0] || q.life != life()) {
            return;
        }
        q.over[0] = true;
        backoffUntil[target.id] = NEVER;
        boolean news = sent > version;
        adopt(sent);
        q.done.accept(true);
        if (news) {
            rowsArrived();
        }
    }

    private void adopt(long read) {
        if (read <= version) {
            return;
        }
        version = read;
        List<Query> ready = held.stream().filter(q -> q.after < version).toList();
        held.removeAll(ready);
        ready.forEach(this::reply);
    }

    // The entries of the region from which this one chooses sources.
    private List<String> known() {
        return queryable(true).stream()
                .filter(a -> design != Design.DISAGREEMENT || knows(Integer.parseInt(a)))
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
