package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.testng.Assert;

/**
 * Properties of {@link WindowedRetryBudget}: entries that do not talk to each other keep one bound
 * together in every window.
 */
final class WindowedRetryBudgetProperties {
    /** Repeats for each request. */
    private static final double RATIO = 0.2;

    /** Repeats besides. */
    private static final double SLACK = 100;

    /** Length of the window. */
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** Time of a step. */
    private static final Duration STEP = Duration.ofMillis(20);

    /** Steps of a day. */
    private static final int STEPS = 1_500;

    /**
     * In each window the repeats of all entries stay within the bound, however unevenly requests
     * come and however many failures there are.
     *
     * @param entries number of entries
     * @param seed seed of the day
     */
    @Property(tries = 60, seed = "20261204")
    void entriesKeepOneBound(
            @ForAll @IntRange(min = 1, max = 24) int entries, @ForAll @IntRange(min = 0) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            budgets.add(new WindowedRetryBudget(RATIO, SLACK, WINDOW));
        }
        List<Instant> requests = new ArrayList<>();
        List<Instant> repeats = new ArrayList<>();
        double failures = random.nextDouble();
        int most = 1 + random.nextInt(8);
        for (int step = 0; step < STEPS; step++) {
            Instant now = Instant.EPOCH.plus(STEP.multipliedBy(step));
            int count = random.nextInt(most + 1);
            for (int i = 0; i < count; i++) {
                int entry = (int) (entries * random.nextDouble() * random.nextDouble());
                budgets.get(entry).requestReceived(now);
                requests.add(now);
                if (random.nextDouble() < failures && budgets.get(entry).tryAcquire(entries, now)) {
                    repeats.add(now);
                }
            }
        }
        for (Instant end : repeats) {
            Instant from = end.minus(WINDOW);
            long inWindow = count(repeats, from, end);
            double allowed = RATIO * count(requests, from, end) + SLACK;
            Assert.assertTrue(inWindow <= allowed, inWindow + " repeats, allowed " + allowed);
        }
    }

    /**
     * Counts times.
     *
     * @param times times
     * @param from begin of the window, which belongs to it
     * @param to end of the window, which belongs to it
     * @return times in the window
     */
    private static long count(List<Instant> times, Instant from, Instant to) {
        return times.stream().filter(t -> !t.isBefore(from) && !t.isAfter(to)).count();
    }
}
