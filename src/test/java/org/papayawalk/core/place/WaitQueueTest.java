package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.place.WaitQueue.Rank;
import org.testng.annotations.Test;

/** Lets requests wait for room and looks at who gets it. */
public final class WaitQueueTest {
    /** Some moment. */
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Time at which nobody has waited long enough. */
    private static final Instant LATER = T0.plusMillis(100);

    /** Rank of a usual request. */
    private static final Rank USUAL = new Rank(1, false);

    /** Room goes to the most urgent, then to who can still be in time, then to the newest. */
    @Test
    public void roomGoesToWhoGainsMost() {
        WaitQueue<String> queue = new WaitQueue<>();
        queue.offer("late", new Rank(1, true), LATER, T0);
        queue.offer("old", USUAL, LATER, T0);
        queue.offer("new", USUAL, LATER, T0);
        queue.offer("urgent", new Rank(0, true), LATER, T0);
        List<String> order = new ArrayList<>();
        queue.dispatch(x -> false, order::add, T0);
        assertEquals(order, List.of("urgent", "new", "old", "late"));
        assertTrue(queue.isEmpty());
    }

    /** A request goes before all that wait unless one of them is ranked before it. */
    @Test
    public void onlyHigherRanksGoFirst() {
        WaitQueue<String> queue = new WaitQueue<>();
        assertTrue(queue.precedesAll(new Rank(9, true)));
        queue.offer("waits", USUAL, LATER, T0);
        assertTrue(queue.precedesAll(USUAL));
        assertTrue(queue.precedesAll(new Rank(0, true)));
        assertFalse(queue.precedesAll(new Rank(1, true)));
    }

    /** Who has waited long enough is given back once; who is over is dropped. */
    @Test
    public void nobodyWaitsPastHisTime() {
        WaitQueue<String> queue = new WaitQueue<>();
        queue.offer("short", USUAL, T0.plusMillis(10), T0);
        queue.offer("long", USUAL, LATER, T0);
        queue.offer("over", USUAL, LATER, T0);
        assertEquals(
                queue.dispatch("over"::equals, x -> false, T0.plusMillis(10)), List.of("short"));
        assertEquals(queue.dispatch(x -> false, x -> false, LATER), List.of("long"));
        assertTrue(queue.isEmpty());
    }

    /** A request whose time is over is not taken. */
    @Test
    public void requestOutOfTimeIsNotTaken() {
        WaitQueue<String> queue = new WaitQueue<>();
        assertFalse(queue.offer("late", USUAL, T0, T0));
        assertTrue(queue.isEmpty());
    }

    /** A full queue takes no more. */
    @Test
    public void queueIsBounded() {
        WaitQueue<Integer> queue = new WaitQueue<>();
        int taken = 0;
        while (taken < 10_000 && queue.offer(taken, USUAL, LATER, T0)) {
            taken++;
        }
        assertEquals(taken, 512);
    }
}
