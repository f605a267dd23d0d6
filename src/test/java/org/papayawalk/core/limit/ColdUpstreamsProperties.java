package org.papayawalk.core.limit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.testng.Assert;

/**
 * Properties of {@link ColdUpstreams}: no upstream gets more than the bound of the platform in any
 * second, and most of the tolerated rate is used.
 */
final class ColdUpstreamsProperties {
    /** Share of the tolerated rate that has to be used while callers wait. */
    private static final double LEAST_USED = 0.9;

    /**
     * The bound holds for any number of entries and upstreams, while entries do not know each other
     * for five seconds.
     *
     * @param entries number of entries
     * @param upstreams number of cold upstreams
     * @param perSecond requests per second that one tolerates
     * @param overage part of the bound
     * @param slack part of the bound
     * @param seed seed of the emulation
     */
    @Property(tries = 40, seed = "20261206")
    void boundHolds(
            @ForAll @IntRange(min = 1, max = 45) int entries,
            @ForAll @IntRange(min = 1, max = 28) int upstreams,
            @ForAll @DoubleRange(min = 1, max = 40) double perSecond,
            @ForAll @DoubleRange(min = 1, max = 2) double overage,
            @ForAll @DoubleRange(min = 0, max = 8) double slack,
            @ForAll long seed) {
        ColdEmulation emulation =
                new ColdEmulation(
                        entries, upstreams, perSecond, new ColdBound(overage, slack), seed);
        emulation.run();
        double bound = perSecond * overage + slack;
        Assert.assertTrue(
                emulation.mostInOneSecond() <= bound,
                emulation.mostInOneSecond() + " in a second, bound " + bound);
    }

    /**
     * With the bound of half as much again and a few more, the tolerated rate is used.
     *
     * @param entries number of entries
     * @param upstreams number of cold upstreams
     * @param perSecond requests per second that one tolerates
     * @param seed seed of the emulation
     */
    @Property(tries = 20, seed = "20261206")
    void toleratedRateIsUsed(
            @ForAll @IntRange(min = 1, max = 45) int entries,
            @ForAll @IntRange(min = 1, max = 28) int upstreams,
            @ForAll @DoubleRange(min = 5, max = 40) double perSecond,
            @ForAll long seed) {
        ColdEmulation emulation =
                new ColdEmulation(entries, upstreams, perSecond, new ColdBound(1.5, 5), seed);
        emulation.run();
        Assert.assertTrue(emulation.leastUsed() >= LEAST_USED, "used " + emulation.leastUsed());
    }

    /** A rate of zero admits nothing. */
    @Property(tries = 1)
    void nothingIsSentAtARateOfZero() {
        ColdEmulation emulation = new ColdEmulation(3, 2, 0, new ColdBound(1.5, 5), 1);
        emulation.run();
        Assert.assertEquals(emulation.mostInOneSecond(), 0);
    }
}
