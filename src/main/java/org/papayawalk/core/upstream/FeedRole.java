package org.papayawalk.core.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;

/**
 * Decides whether an entry follows the tables of the store itself, and else which entry of its
 * region it follows. A few entries of each region, alike for all that know the same live entries,
 * are sources and follow the store. The others follow one source and only check whether the store
 * has something newer, a fixed time after the last moment for which it is proven that they lack
 * nothing; they follow the store while no source has answered lately. A source proves only what the
 * store has told it, so whatever a source does or omits, a check is in time, and entries may
 * disagree on the sources.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public final class FeedRole {
    /** Number of entries of a large region that follow the store. */
    public static final int SOURCES = 2;

    /** Number of entries of a region up to which one source sends its tables to all others. */
    public static final int ONE_SOURCE_REGION = 6;

    // Time after which a source is chosen anew, so that the choice follows the live entries.
    private static final Duration SOURCE_TERM = Duration.ofSeconds(10);

    // Key of the order in which entries become sources.
    private static final String SOURCE_KEY = "state-source";

    private final String self;

    private final PollSchedule schedule;

    // Sources as of the last update, best first; empty if this entry is one.
    private List<String> sources = List.of();

    // Source that this entry follows, null if it has to choose one.
    private String current;

    private Instant chosenAt = Instant.MIN;

    // Whether other entries follow this one.
    private boolean hasFollowers;

    // Last answer of the current source, null before the first.
    private Instant answeredAt;

    /**
     * Creates the role of an entry that knows no other entry, and so follows the store.
     *
     * @param self address of this entry
     * @param schedule times of the calls
     */
    public FeedRole(String self, PollSchedule schedule) {
        this.self = self;
        this.schedule = schedule;
    }

    /**
     * Updates the entries from which sources are chosen.
     *
     * @param others addresses of the other live entries of the region that may be queried
     */
    public void update(Collection<String> others) {
        Set<String> region = new TreeSet<>(others);
        region.add(self);
        boolean alone = !schedule.sourceSavesCalls(region.size());
        int count = region.size() <= ONE_SOURCE_REGION ? 1 : SOURCES;
        List<String> best = alone ? List.of(self) : order(region, SOURCE_KEY).subList(0, count);
        hasFollowers = !alone && best.contains(self);
        sources = best.contains(self) ? List.of() : order(best, self);
        if (sources.isEmpty()) {
            forget();
        }
    }

    /**
     * Returns the source to query next. Keeps a source that answers for some seconds.
     *
     * @param now present time
     * @return address, empty if this entry is a source itself
     */
    public Optional<String> source(Instant now) {
        if (sources.isEmpty()) {
            return Optional.empty();
        }
        boolean termEnds = current == null || !chosenAt.plus(SOURCE_TERM).isAfter(now);
        if (termEnds) {
            choose(sources.get(0), now);
        }
        return Optional.of(current);
    }

    /**
     * Returns how long a source may hold the next query while it has nothing newer.
     *
     * @param completeUntil time until which the tables of this entry are complete
     * @param now present time
     * @return zero until the source has answered
     */
    public Duration sourceWait(Instant completeUntil, Instant now) {
        return answeredAt == null ? Duration.ZERO : schedule.sourceWait(completeUntil, now);
    }

    /**
     * Returns how long the store may hold the next call of an entry that follows it.
     *
     * @param failures failed calls in a row before this one
     * @param completeUntil time until which the table is complete
     * @param now present time
     * @return shorter for a source, whose followers wait for its proofs
     */
    public Duration storeWait(int failures, Instant completeUntil, Instant now) {
        return hasFollowers && failures == 0
                ? schedule.proofWait(completeUntil, now)
                : schedule.wait(failures);
    }

    /**
     * Records the answer of a source.
     *
     * @param source address of the source
     * @param now present time
     */
    public void answered(String source, Instant now) {
        if (source.equals(current)) {
            answeredAt = now;
        }
    }

    /**
     * Records that a source did not answer in time. Another one is chosen.
     *
     * @param source address of the source
     */
    public void failed(String source) {
        if (source.equals(current)) {
            forget();
        }
    }

    /**
     * Returns whether this entry follows the store itself.
     *
     * @param now present time
     * @return false only while a source answers
     */
    public boolean followsStore(Instant now) {
        return answeredAt == null || answeredAt.plus(schedule.sourceSilence()).isBefore(now);
    }

    private void choose(String source, Instant now) {
        chosenAt = now;
        if (!source.equals(current)) {
            current = source;
            answeredAt = null;
        }
    }

    private void forget() {
        current = null;
        answeredAt = null;
    }

    private static List<String> order(Collection<String> addresses, String key) {
        List<HostId> hosts = addresses.stream().map(FeedRole::host).toList();
        List<HostId> ordered = RendezvousHash.order(hosts, key);
        return addresses.stream()
                .sorted(Comparator.comparingInt(a -> ordered.indexOf(host(a))))
                .toList();
    }

    // A host name holds no colon.
    private static HostId host(String address) {
        return new HostId(address.replace(':', '_'));
    }
}
