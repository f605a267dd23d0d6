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
 * Properties of {@link UpstreamTracker}: a process that announced its leaving never takes work
 * again, and an entry that is gone is used for a grace at the most, and only around an outage.
 */
final class UpstreamTrackerProperties {
    /** Names of upstreams. */
    private static final int NAMES = 4;

    /** Starts under one name. */
    private static final int STARTS = 3;

    /** Steps of a history. */
    private static final int STEPS = 200;

    /** Longest time of a step, in milliseconds. */
    private static final int MAX_STEP_MILLIS = 400;

    /**
     * What was said of upstreams decides who may take work, whatever the order.
     *
     * @param seed seed of the history
     */
    @Property(tries = 400, seed = "20261204")
    void leavingIsFinal(@ForAll @IntRange(min = 0) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        UpstreamTracker book = new UpstreamTracker();
        Set<String> left = new HashSet<>();
        Map<UpstreamId, Instant> goneAt = new HashMap<>();
        Instant now = Instant.EPOCH;
        Instant outage = Instant.MIN;
        for (int step = 0; step < STEPS; step++) {
            now = now.plusMillis(random.nextInt(MAX_STEP_MILLIS));
            UpstreamId id = new UpstreamId("u" + random.nextInt(NAMES));
            switch (random.nextInt(4)) {
                case 0 -> {
                    UpstreamRegistration entry =
                            entry(id, 1 + random.nextInt(STARTS), random.nextInt(4) == 0);
                    book.put(entry);
                    goneAt.remove(id);
                    if (entry.draining()) {
                        left.add(process(entry));
                    }
                }
                case 1 -> {
                    book.remove(id, now);
                    goneAt.putIfAbsent(id, now);
                    left.removeIf(p -> p.startsWith(id + "/"));
                }
                case 2 -> {
                    book.storeUnavailable(now);
                    outage = now;
                }
                default -> book.expire(now);
            }
            book.expire(now);
            for (UpstreamRegistration e : book.usable()) {
                Assert.assertFalse(left.contains(process(e)), "leaving process may take work");
                Instant gone = goneAt.get(e.id());
                boolean inGrace =
                        gone != null && gone.plus(UpstreamTracker.EXPIRY_GRACE).isAfter(now);
                Assert.assertTrue(gone == null || inGrace, "gone upstream may take work");
                Assert.assertTrue(gone == null || !outage.equals(Instant.MIN), "no outage");
            }
        }
    }

    /**
     * Names a process.
     *
     * @param entry its entry
     * @return name and start
     */
    private static String process(UpstreamRegistration entry) {
        return entry.id() + "/" + entry.incarnation();
    }

    /**
     * Makes an entry.
     *
     * @param id name
     * @param incarnation start of the process
     * @param draining whether it leaves
     * @return entry
     */
    private static UpstreamRegistration entry(UpstreamId id, long incarnation, boolean draining) {
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
