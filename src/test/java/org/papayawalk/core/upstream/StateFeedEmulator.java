package org.papayawalk.core.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Plays on virtual time how entries in several regions follow one row of the store, which is in the
 * first region, in any trouble. Entries decide by {@link FeedRole}, {@link PollSchedule} and {@link
 * QueryRound}. Times are in milliseconds. Not thread-safe.
 */
final class StateFeedEmulator {
    private static final int LOOK_INTERVAL = 10;

    private static final int MAX_TROUBLE = 6_000;

    private static final int MIN_TROUBLE = 200;

    private static final int MAX_SLOWNESS = 900;

    private final EmulatedNetwork network;

    private final EmulatedStore store;

    private final SplittableRandom random;

    private final int regions;

    private final long contact;

    private final long bound;

    private final List<EmulatedEntry> entries = new ArrayList<>();

    private final List<Long> delays = new ArrayList<>();

    private final List<String> late = new ArrayList<>();

    /**
     * Creates entries that have read nothing.
     *
     * @param design how entries follow the store
     * @param perRegion entries of each region
     * @param contact time after trouble from which on an entry or the store is held to the bound
     * @param bound longest time from a change to each entry in touch
     * @param seed seed of the delays and of the troubles
     */
    StateFeedEmulator(
            FeedDesign design, List<Integer> perRegion, long contact, long bound, long seed) {
        this.contact = contact;
        this.bound = bound;
        random = new SplittableRandom(seed);
        regions = perRegion.size();
        network = new EmulatedNetwork(regions, random);
        store = new EmulatedStore(network);
        PollSchedule schedule =
                new PollSchedule(Duration.ofMillis(contact), Duration.ofMillis(bound));
        int total = perRegion.stream().mapToInt(n -> n).sum();
        for (int r = 0; r < regions; r++) {
            for (int i = 0; i < perRegion.get(r); i++) {
                int id = entries.size();
                entries.add(
                        new EmulatedEntry(
                                id, r, design, network, store, entries, total, schedule, random));
            }
        }
        entries.forEach(EmulatedEntry::start);
    }

    /**
     * Changes the row at intervals. A silent store confirms nothing.
     *
     * @param from time of the first change
     * @param until time of the last change
     * @param interval time between two changes
     */
    void change(long from, long until, int interval) {
        for (long t = from; t < until; t += interval) {
            network.at(t + random.nextInt(interval / 4), this::write);
        }
    }

    /**
     * Plays random troubles.
     *
     * @param from time of the first
     * @param until time of the last
     * @param gap longest time between two
     */
    void disturb(long from, long until, int gap) {
        for (long t = from; t < until; t += 1 + random.nextInt(gap)) {
            network.at(t, this::randomTrouble);
        }
    }

    /**
     * Runs until a time.
     *
     * @param until end
     */
    void run(long until) {
        network.run(until);
    }

    /**
     * Kills the entries of a region that follow the store, at one moment.
     *
     * @param at time
     * @param region region
     * @param down time until they start again
     */
    void killSources(long at, int region, int down) {
        network.at(at, () -> sources(region).forEach(e -> e.kill(down)));
    }

    /**
     * Freezes the entries of a region that follow the store, at one moment.
     *
     * @param at time
     * @param region region
     * @param duration time
     */
    void freezeSources(long at, int region, int duration) {
        network.at(at, () -> sources(region).forEach(e -> e.freeze(duration)));
    }

    /**
     * Cuts the entries of a region that follow the store off it, but not off other entries.
     *
     * @param at time
     * @param region region
     * @param duration time
     */
    void cutSources(long at, int region, int duration) {
        network.at(at, () -> sources(region).forEach(e -> e.cutFromStore(duration)));
    }

    /**
     * Silences the store.
     *
     * @param at time
     * @param duration time
     */
    void silenceStore(long at, int duration) {
        network.at(at, () -> store.silence(duration));
    }

    /**
     * Returns what broke the bound.
     *
     * @return one text for each version that an entry in touch had too late
     */
    List<String> late() {
        return late;
    }

    /**
     * Returns a quantile of the times from a change to an entry in touch.
     *
     * @param share 0 to 1
     * @return milliseconds, rounded up to 10
     */
    long delay(double share) {
        List<Long> sorted = delays.stream().sorted().toList();
        return sorted.get((int) Math.min(sorted.size() - 1L, (long) (share * sorted.size())));
    }

    /**
     * Returns the number of times that {@link #delay} is over.
     *
     * @return changes times entries in touch
     */
    int delays() {
        return delays.size();
    }

    /**
     * Returns the bytes over links between regions.
     *
     * @return bytes
     */
    long linkBytes() {
        return network.linkBytes();
    }

    /**
     * Returns the calls to the store.
     *
     * @return number
     */
    long storeCalls() {
        return store.calls();
    }

    /**
     * Returns the changes made.
     *
     * @return number
     */
    long changes() {
        return store.version();
    }

    /**
     * Returns the lowest version that any entry has.
     *
     * @return version
     */
    long lowestVersion() {
        return entries.stream().mapToLong(EmulatedEntry::version).min().orElse(0);
    }

    private void write() {
        if (store.silentUntil() > network.now()) {
            return;
        }
        long version = store.write();
        long confirmedAt = network.now();
        entries.forEach(e -> look(e, version, confirmedAt));
        network.at(confirmedAt + bound, () -> check(version, confirmedAt));
    }

    // Looks at intervals when an entry has a version.
    private void look(EmulatedEntry e, long version, long confirmedAt) {
        if (!isInTouch(e, confirmedAt) || network.now() > confirmedAt + 2 * bound) {
            return;
        }
        if (e.version() >= version) {
            delays.add(network.now() - confirmedAt);
            return;
        }
        network.at(network.now() + LOOK_INTERVAL, () -> look(e, version, confirmedAt));
    }

    private void check(long version, long confirmedAt) {
        for (EmulatedEntry e : entries) {
            if (isInTouch(e, confirmedAt) && e.version() < version) {
                late.add(
                        "an entry of region %d has %d in place of %d, confirmed at %d"
                                .formatted(e.region(), e.version(), version, confirmedAt));
            }
        }
    }

    // Whether neither the entry nor the store had trouble since shortly before a change.
    private boolean isInTouch(EmulatedEntry e, long confirmedAt) {
        long since = confirmedAt - contact;
        return e.calmSince(since) && store.silentUntil() <= since;
    }

    private void randomTrouble() {
        EmulatedEntry e = entries.get(random.nextInt(entries.size()));
        int region = random.nextInt(regions);
        int duration = random.nextInt(MIN_TROUBLE, MAX_TROUBLE);
        switch (random.nextInt(10)) {
            case 0, 1 -> e.kill(duration);
            case 2, 3 -> e.freeze(duration);
            case 4 -> e.cutFromStore(duration);
            case 5 -> e.cut(duration);
            case 6 -> e.slow(duration, random.nextInt(MAX_SLOWNESS));
            case 7 -> sources(region).forEach(s -> s.kill(duration));
            case 8 -> sources(region).forEach(s -> s.freeze(duration));
            default -> sources(region).forEach(s -> s.cutFromStore(duration));
        }
    }

    // Also followers that have lost their source.
    private List<EmulatedEntry> sources(int region) {
        return entries.stream().filter(e -> e.region() == region && e.followsStore()).toList();
    }
}
