package org.papayawalk.core.limit;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Properties of {@link UpstreamLimits}: whatever happens to the entries, an upstream that states a
 * limit gets at most one and a half times what it takes, and five requests, in any four seconds. It
 * gets a fair part of what it takes, and all entries use it again once the limit has ended.
 */
final class UpstreamLimitsProperties {
    private static final int ROUNDS = 12;

    private static final int MAX_ROUND_MILLIS = 4000;

    private static final int MAX_TROUBLE_MILLIS = 7000;

    private static final Duration LONG_TIME = Duration.ofSeconds(40);

    // Least part of the limit that is used while all entries have requests.
    private static final double LEAST_USE = 0.7;

    /**
     * Holds while entries are restarted, frozen and cut off, and the limit comes, changes and ends.
     *
     * @param entries number of entries
     * @param seed seed of troubles and latencies
     */
    @Property(tries = 300, seed = "1123")
    void limitIsKeptUnderTrouble(
            @ForAll @IntRange(min = 1, max = 45) int entries, @ForAll @LongRange long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LimitEmulation emulation = new LimitEmulation(entries, seed);
        emulation.run(Duration.ofSeconds(1));
        for (int i = 0; i < ROUNDS; i++) {
            if (random.nextInt(3) == 0) {
                emulation.state(random.nextInt(4) == 0 ? -1 : randomLimit(random));
            }
            LimitEmulation.Trouble[] kinds = LimitEmulation.Trouble.values();
            emulation.trouble(
                    random.nextInt(entries),
                    kinds[random.nextInt(kinds.length)],
                    Duration.ofMillis(random.nextInt(1, MAX_TROUBLE_MILLIS)));
            emulation.run(Duration.ofMillis(random.nextInt(1, MAX_ROUND_MILLIS)));
        }
        emulation.run(LONG_TIME);
        assertTrue(emulation.worstExcess() <= 0, emulation.worstExcess() + " requests too many");
    }

    // Low limits are more likely, as they leave the entries the least room.
    private static double randomLimit(SplittableRandom random) {
        return random.nextDouble() * (random.nextInt(4) == 0 ? 40 : 6);
    }

    /**
     * Holds without trouble.
     *
     * @param entries number of entries
     * @param limit requests per second
     * @param seed seed of latencies
     */
    @Property(tries = 60, seed = "1124")
    void limitIsUsedAndEnds(
            @ForAll @IntRange(min = 1, max = 45) int entries,
            @ForAll @DoubleRange(min = 0.3, max = 6) double limit,
            @ForAll @LongRange long seed) {
        LimitEmulation emulation = new LimitEmulation(entries, seed);
        emulation.run(Duration.ofSeconds(1));
        emulation.state(limit);
        emulation.run(LimitEmulation.CONTACT);
        emulation.takeArrivals();
        emulation.run(LONG_TIME);
        double used = emulation.takeArrivals() / (limit * LONG_TIME.toSeconds());
        assertTrue(used >= LEAST_USE, used + " of the limit used");
        emulation.state(-1);
        emulation.run(LONG_TIME);
        assertTrue(emulation.admittedEntries() == entries, "an entry holds a limit that ended");
    }
}
