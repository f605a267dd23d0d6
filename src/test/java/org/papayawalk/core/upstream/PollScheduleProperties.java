package org.papayawalk.core.upstream;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Properties of {@link PollSchedule}: whenever a store loses calls, and however often, a daemon has
 * its changes within the bound after the store serves calls again. Plays calls on virtual time; all
 * times are in milliseconds.
 */
final class PollScheduleProperties {
    private static final int OUTAGES = 40;

    private static final int LONGEST_OUTAGE = 12_000;

    private static final int LONGEST_CALM = 9_000;

    // Bound on the time for a late timer, a new connection and an answer, together.
    private static final int LONGEST_DELAY = 400;

    /**
     * A daemon has the changes in time after each outage.
     *
     * @param bound longest time from the end of an outage
     * @param seed seed of the outages, delays and pauses
     */
    @Property(tries = 400, seed = "23")
    void changesAreReadInTimeAfterEachOutage(
            @ForAll @IntRange(min = 2100, max = 8000) int bound, @ForAll @LongRange long seed) {
        play(new PollSchedule(Duration.ofMillis(bound)), bound, seed, false);
    }

    /**
     * A daemon that only checks has the changes in time after each outage too.
     *
     * @param bound longest time from the end of an outage
     * @param delay longest time from a change while the store serves
     * @param seed seed of the outages, delays and pauses
     */
    @Property(tries = 400, seed = "24")
    void checksAreInTimeAfterEachOutage(
            @ForAll @IntRange(min = 2100, max = 8000) int bound,
            @ForAll @IntRange(min = 500, max = 8000) int delay,
            @ForAll @LongRange long seed) {
        PollSchedule schedule =
                new PollSchedule(Duration.ofMillis(bound), Duration.ofMillis(delay));
        assertTrue(schedule.checkInterval().toMillis() <= delay / 2);
        play(schedule, bound, seed, true);
    }

    private static void play(PollSchedule schedule, int bound, long seed, boolean checks) {
        SplittableRandom random = new SplittableRandom(seed);
        long now = 0;
        int failures = 0;
        long outageBegins = 0;
        long outageEnds = 0;
        for (int i = 0; i < OUTAGES; i++) {
            outageBegins = outageEnds + random.nextInt(LONGEST_CALM);
            outageEnds = outageBegins + random.nextInt(LONGEST_OUTAGE);
            long readAt = 0;
            while (readAt < outageEnds) {
                Duration wait = checks ? Duration.ZERO : schedule.wait(failures);
                long heldUntil = now + wait.toMillis();
                boolean lost = heldUntil >= outageBegins && now <= outageEnds;
                if (lost) {
                    failures++;
                    Duration pause = schedule.pause(failures, random.nextDouble());
                    now += schedule.timeout(wait).plus(pause).toMillis();
                } else {
                    failures = 0;
                    // After an outage there are changes, so that the call is not held.
                    readAt = now > outageEnds ? now + random.nextInt(LONGEST_DELAY) : heldUntil;
                    now = checks ? now + schedule.checkInterval().toMillis() : readAt;
                }
            }
            long late = readAt - outageEnds;
            assertTrue(late <= bound, "changes read " + late + " ms after outage " + i);
        }
    }
}
