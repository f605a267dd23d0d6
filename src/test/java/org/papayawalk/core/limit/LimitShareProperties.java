package org.papayawalk.core.limit;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Properties of {@link LimitShare}, for entries that send whenever their share allows it. */
final class LimitShareProperties {
    private static final Duration WINDOW = Duration.ofSeconds(4);

    private static final Instant START = Instant.EPOCH;

    // Requests that a window may hold: a multiple of the limit, and some more.
    private static final double ALLOWED_RATE = 1.5;

    private static final int ALLOWED_REQUESTS = 5;

    /**
     * All shares together stay below the allowed number of requests after a pause, and use the
     * limit in the long run.
     *
     * @param perSecond limit
     * @param entries number of entries
     */
    @Property(tries = 400, seed = "1125")
    void sharesKeepAndUseTheLimit(
            @ForAll @DoubleRange(min = 0, max = 200) double perSecond,
            @ForAll @IntRange(min = 1, max = 60) int entries) {
        int inWindow = 0;
        int inLongTime = 0;
        Duration longTime = WINDOW.multipliedBy(10);
        for (int rank = 0; rank < entries; rank++) {
            LimitShare share = LimitShare.of(perSecond, rank, entries);
            if (share.sends()) {
                inWindow += requests(share, WINDOW);
                inLongTime += requests(share, longTime);
            }
        }
        double allowed = ALLOWED_RATE * perSecond * WINDOW.toSeconds() + ALLOWED_REQUESTS;
        assertTrue(inWindow <= allowed, inWindow + " requests, allowed " + allowed);
        double wanted = Math.floor(perSecond * longTime.toSeconds());
        assertTrue(inLongTime >= wanted, inLongTime + " requests, wanted " + wanted);
    }

    // Returns how many requests one sharer sends within a time after a pause.
    private static int requests(LimitShare share, Duration time) {
        Instant pace = START.minus(time);
        int sent = 0;
        Instant at = START;
        while (at.isBefore(START.plus(time))) {
            pace = share.nextPace(pace, at);
            sent++;
            Instant next = share.earliest(pace);
            at = next.isAfter(at) ? next : at;
        }
        return sent;
    }
}
