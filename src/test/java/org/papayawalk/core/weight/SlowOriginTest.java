package org.papayawalk.core.weight;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.place.RequestedVersion;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Relays of five regions fetch a version that was just requested over the narrow link of an origin,
 * which may go away at any time afterwards.
 */
public final class SlowOriginTest {
    /** Bound of the time for one copy, relative to what the link of the origin needs. */
    private static final double MAX_RELATIVE_TIME = 1.2;

    /** Less than one chunk on the link. */
    private static final Duration MAX_IDLE = Duration.ofMillis(46);

    /** Bound of the copies that the origin sends. */
    private static final double MAX_COPIES = 1.2;

    /**
     * Returns seeds of the emulation and whether a fetcher joins late.
     *
     * @return seed and whether it does
     */
    @DataProvider
    public Object[][] plays() {
        Object[][] plays = new Object[20][];
        for (int i = 0; i < plays.length; i++) {
            plays[i] = new Object[] {i, i % 2 == 1};
        }
        return plays;
    }

    /**
     * The link is in use from the first moment, so that one copy is out within its bound, once.
     *
     * @param seed seed of the emulation
     * @param joinsLate whether a fetcher starts after the version was requested
     */
    @Test(dataProvider = "plays")
    public void oneCopyLeavesTheOriginInTime(int seed, boolean joinsLate) {
        SlowOriginEmulation emulation = new SlowOriginEmulation(seed, joinsLate);
        Duration whole = emulation.play();
        double relative = whole.toNanos() / (double) SlowOriginEmulation.COPY_TIME.toNanos();
        assertTrue(
                relative <= MAX_RELATIVE_TIME,
                "one copy took " + relative + ", sent " + emulation.copiesSent());
        assertTrue(emulation.idle().compareTo(MAX_IDLE) <= 0, "idle for " + emulation.idle());
        assertTrue(emulation.copiesSent() <= MAX_COPIES, emulation.copiesSent() + " copies");
    }

    /**
     * A fetcher that joins leaves what others are receiving to these.
     *
     * @param seed seed of the emulation
     * @param joinsLate whether a fetcher starts after the version was requested
     */
    @Test(dataProvider = "plays")
    public void noChunkLeavesTheOriginTwice(int seed, boolean joinsLate) {
        SlowOriginEmulation emulation = new SlowOriginEmulation(seed, joinsLate);
        emulation.play();
        assertEquals(emulation.copiesSent(), 1.0);
    }

    /**
     * An origin that comes back is met at once: its absence adds no more to the time of a copy than
     * it lasts.
     *
     * @param seed seed of the emulation
     * @param joinsLate whether a fetcher starts after the version was requested
     */
    @Test(dataProvider = "plays")
    public void originThatReturnsIsMetAtOnce(int seed, boolean joinsLate) {
        SlowOriginEmulation emulation = new SlowOriginEmulation(seed, joinsLate);
        Duration from = Duration.ofMillis(1900);
        Duration until = from.plusMillis(3000 + 37L * seed);
        emulation.takeOriginAway(from, until);
        Duration present = emulation.play().minus(until.minus(from));
        double relative = present.toNanos() / (double) SlowOriginEmulation.COPY_TIME.toNanos();
        assertTrue(relative <= MAX_RELATIVE_TIME, "one copy took " + relative);
    }

    /** Chunks are fetched at once only while no host can have them for long. */
    @Test
    public void onlyRecentRequestsAreJustRequested() {
        Instant at = Instant.parse("2026-01-01T00:00:00Z");
        Optional<RequestedVersion> recent = Optional.of(new RequestedVersion(2, at));
        Optional<RequestedVersion> unknown = Optional.of(new RequestedVersion(2, Instant.MIN));
        assertTrue(NewVersionRule.isJustRequested(recent, at.plusMillis(100)));
        assertFalse(NewVersionRule.isJustRequested(recent, at.plusMillis(600)));
        assertFalse(NewVersionRule.isJustRequested(unknown, at));
        assertFalse(NewVersionRule.isJustRequested(Optional.empty(), at));
    }

    /** The hosts together stay within the connections of the origin, if they can. */
    @Test
    public void connectionsOfTheOriginAreShared() {
        assertEquals(OriginShare.requestsPerHost(48, 3), 4);
        assertEquals(OriginShare.requestsPerHost(8, 3), 2);
        assertEquals(OriginShare.requestsPerHost(8, 20), 1);
        assertEquals(OriginShare.requestsPerHost(0, 0), 1);
    }
}
