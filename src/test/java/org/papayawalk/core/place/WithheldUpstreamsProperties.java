package org.papayawalk.core.place;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Properties of {@link WithheldUpstreams}: whatever happens to entries and upstreams, a process
 * that left or refused requests gets none of entries that it told so, and its successor gets some.
 */
final class WithheldUpstreamsProperties {
    private static final int ROUNDS = 30;

    private static final int MAX_ROUND_MILLIS = 1500;

    private static final int MAX_LASTING_MILLIS = 5000;

    // Time after which all that was stated has ended, except for processes that leave.
    private static final Duration CALM = Duration.ofSeconds(20);

    /**
     * Holds while entries are restarted, frozen, cut off or slow, and upstreams leave, refuse
     * requests, are replaced and lose their rows.
     *
     * @param entries number of entries
     * @param upstreams number of upstreams
     * @param seed seed of all that happens
     */
    @Property(tries = 150, seed = "1204")
    void statementsAreKeptUnderTrouble(
            @ForAll @IntRange(min = 1, max = 6) int entries,
            @ForAll @IntRange(min = 1, max = 4) int upstreams,
            @ForAll @LongRange long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WithheldEmulation emulation = new WithheldEmulation(entries, upstreams, seed);
        for (int i = 0; i < ROUNDS; i++) {
            if (random.nextInt(3) == 0) {
                WithheldEmulation.Trouble[] troubles = WithheldEmulation.Trouble.values();
                emulation.trouble(
                        random.nextInt(entries),
                        troubles[random.nextInt(troubles.length)],
                        Duration.ofMillis(random.nextInt(1, MAX_LASTING_MILLIS)));
            }
            WithheldEmulation.Change[] changes = WithheldEmulation.Change.values();
            emulation.change(
                    random.nextInt(upstreams),
                    changes[random.nextInt(changes.length)],
                    Duration.ofMillis(random.nextInt(1, MAX_LASTING_MILLIS)));
            emulation.run(Duration.ofMillis(random.nextInt(1, MAX_ROUND_MILLIS)));
        }
        emulation.run(CALM);
        assertTrue(emulation.violations().isEmpty(), emulation.violations().toString());
        assertTrue(emulation.arrivals() > 0, "no request reached an upstream");
        assertTrue(emulation.allUsed(), "an entry does not use an upstream that takes requests");
    }
}
