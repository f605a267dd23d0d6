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
 * Properties of {@link WindowedRetryBudget}: entries without coordination keep one common bound in
 * every window.
 */
final class WindowedRetryBudgetProperties {
    /** Retries allowed for each request. */
    private static final double RATIO = 0.2;

    /** Retries allowed in addition, over all entries in one window. */
    private static final double SLACK = 100;

    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** Simulated time of one step. */
    private static final Duration STEP = Duration.ofMillis(20);

    /** Steps of one run: three windows. */
    private static final int STEPS = 1_500;

    /**
     * In each window the retries of all entries stay within the bound, whatever the distribution of
     * the requests over the entries and the rate of failures.
     *
     * @param entries number of entries
     * @param seed seed of the run
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
        List<Instant> retries = new ArrayList<>();
        double failureRate = random.nextDouble();
        int maxPerStep = 1 + random.nextInt(8);
        for (int step = 0; step < STEPS; step++) {
            Instant now = Instant.EPOCH.plus(STEP.multipliedBy(step));
            int count = random.nextInt(maxPerStep + 1);
            for (int i = 0; i < count; i++) {
                int entry = (int) (entries * random.nextDouble() * random.nextDouble());
                budgets.get(entry).requestReceived(now);
                requests.add(now);
                if (random.nextDouble() < failureRate
                        && budgets.get(entry).tryAcquire(entries, now)) {
                    retries.add(now);
                }
            }
        }
        for (Instant end : retries) {
            Instant from = end.minus(WINDOW);
            long inWindow = count(retries, from, end);
            double allowed = RATIO * count(requests, from, end) + SLACK;
            Assert.assertTrue(inWindow <= allowed, inWindow + " retries, allowed " + allowed);
        }
    }

    // Counts the times in a window, both ends included.
    private static long count(List<Instant> times, Instant from, Instant to) {
        return times.stream().filter(t -> !t.isBefore(from) && !t.isAfter(to)).count();
    }
}
