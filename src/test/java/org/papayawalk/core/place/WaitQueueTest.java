package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.place.WaitQueue.Rank;
import org.testng.annotations.Test;

/** Tests the order and the limits of {@link WaitQueue}. */
public final class WaitQueueTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Expiry that is later than every dispatch but the last. */
    private static final Instant LATER = T0.plusMillis(100);

    /** Rank of a request that can still be on time. */
    private static final Rank ON_TIME = new Rank(1, false);

    /** Sends by priority, then requests that can still be on time, then the newest. */
    @Test
    public void sendsByPriorityThenTimelinessThenNewest() {
        WaitQueue<String> queue = new WaitQueue<>();
        queue.offer("late", new Rank(1, true), LATER, T0);
        queue.offer("old", ON_TIME, LATER, T0);
        queue.offer("new", ON_TIME, LATER, T0);
        queue.offer("urgent", new Rank(0, true), LATER, T0);
        List<String> order = new ArrayList<>();
        queue.dispatch(x -> false, order::add, T0);
        assertEquals(order, List.of("urgent", "new", "old", "late"));
        assertTrue(queue.isEmpty());
    }

    /** A new request goes before all waiting ones unless one of them has a higher rank. */
    @Test
    public void onlyHigherRanksPrecedeNewRequest() {
        WaitQueue<String> queue = new WaitQueue<>();
        assertTrue(queue.precedesAll(new Rank(9, true)));
        queue.offer("waits", ON_TIME, LATER, T0);
        assertTrue(queue.precedesAll(ON_TIME));
        assertTrue(queue.precedesAll(new Rank(0, true)));
        assertFalse(queue.precedesAll(new Rank(1, true)));
    }

    /** Expired requests are returned once; requests that ended otherwise are dropped. */
    @Test
    public void noRequestWaitsPastItsExpiry() {
        WaitQueue<String> queue = new WaitQueue<>();
        queue.offer("short", ON_TIME, T0.plusMillis(10), T0);
        queue.offer("long", ON_TIME, LATER, T0);
        queue.offer("over", ON_TIME, LATER, T0);
        assertEquals(
                queue.dispatch("over"::equals, x -> false, T0.plusMillis(10)), List.of("short"));
        assertEquals(queue.dispatch(x -> false, x -> false, LATER), List.of("long"));
        assertTrue(queue.isEmpty());
    }

    /** An expired request is not added. */
    @Test
    public void expiredRequestIsNotAdded() {
        WaitQueue<String> queue = new WaitQueue<>();
        assertFalse(queue.offer("late", ON_TIME, T0, T0));
        assertTrue(queue.isEmpty());
    }

    /** The queue rejects requests beyond its bound. */
    @Test
    public void queueIsBounded() {
        WaitQueue<Integer> queue = new WaitQueue<>();
        int added = 0;
        while (added < 10_000 && queue.offer(added, ON_TIME, LATER, T0)) {
            added++;
        }
        assertEquals(added, 512);
    }
}
