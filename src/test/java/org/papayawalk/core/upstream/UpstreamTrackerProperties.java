package org.papayawalk.core.upstream;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.testng.Assert;

/**
 * Properties of {@link UpstreamTracker}: a process that announced its drain never takes work again,
 * and a removed registration is used at most for the grace period, and only around an outage.
 */
final class UpstreamTrackerProperties {
    /** Number of upstream names. */
    private static final int NAMES = 4;

    /** Number of incarnations of each name. */
    private static final int INCARNATIONS = 3;

    /** Steps of one run. */
    private static final int STEPS = 200;

    /** Exclusive bound of the simulated time of one step. */
    private static final int MAX_STEP_MILLIS = 400;

    /**
     * Holds for any order of registrations, removals, outages and expiries.
     *
     * @param seed seed of the run
     */
    @Property(tries = 400, seed = "20261204")
    void drainIsFinal(@ForAll @IntRange(min = 0) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        UpstreamTracker tracker = new UpstreamTracker();
        Set<String> drained = new HashSet<>();
        Map<UpstreamId, Instant> removedAt = new HashMap<>();
        Instant now = Instant.EPOCH;
        Instant outage = Instant.MIN;
        for (int step = 0; step < STEPS; step++) {
            now = now.plusMillis(random.nextInt(MAX_STEP_MILLIS));
            UpstreamId id = new UpstreamId("u" + random.nextInt(NAMES));
            switch (random.nextInt(4)) {
                case 0 -> {
                    UpstreamRegistration registration =
                            registration(
                                    id, 1 + random.nextInt(INCARNATIONS), random.nextInt(4) == 0);
                    tracker.put(registration, now);
                    removedAt.remove(id);
                    if (registration.draining()) {
                        drained.add(process(registration));
                    }
                }
                case 1 -> {
                    tracker.remove(id, now);
                    removedAt.putIfAbsent(id, now);
                }
                case 2 -> {
                    tracker.storeUnavailable(now);
                    outage = now;
                }
                default -> tracker.expire(now);
            }
            tracker.expire(now);
            for (UpstreamRegistration r : tracker.usable()) {
                Assert.assertFalse(
                        drained.contains(process(r)),
                        "draining process " + process(r) + " is usable");
                Instant removed = removedAt.get(r.id());
                boolean inGrace =
                        removed != null && removed.plus(UpstreamTracker.EXPIRY_GRACE).isAfter(now);
                Assert.assertTrue(
                        removed == null || inGrace,
                        "upstream " + r.id() + " is usable after its grace period");
                Assert.assertTrue(
                        removed == null || !outage.equals(Instant.MIN),
                        "removed upstream " + r.id() + " is usable without an outage");
            }
        }
    }

    // Returns the id of a process: name and incarnation of its upstream.
    private static String process(UpstreamRegistration registration) {
        return registration.id() + "/" + registration.incarnation();
    }

    private static UpstreamRegistration registration(
            UpstreamId id, long incarnation, boolean draining) {
        return new UpstreamRegistration(
                id,
                incarnation,
                new ServiceId("s"),
                "10.0.0.1:80",
                new DomainId("luzon-a"),
                4,
                draining,
                Map.of());
    }
}
