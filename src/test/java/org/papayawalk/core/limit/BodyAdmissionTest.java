package org.papayawalk.core.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.papayawalk.core.limit.BodyAdmission.Decision;
import org.papayawalk.core.limit.BodyAdmission.Ticket;
import org.testng.annotations.Test;

/** Admission of many long request bodies at once, beside short ones. */
public final class BodyAdmissionTest {
    private static final long MAX_BYTES = 24 * 1024 * 1024;

    private static final long LONG_BODY = 4_000_000;

    private final BodyAdmission bodies = new BodyAdmission(MAX_BYTES);

    private final List<Integer> admitted = new ArrayList<>();

    /** Long bodies wait in order, short ones pass them, and all get their turn. */
    @Test
    public void longBodiesTakeTurnsAndShortOnesPass() {
        List<Ticket> tickets = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int number = i;
            tickets.add(bodies.request(LONG_BODY, () -> admitted.add(number)));
        }
        long atOnce = tickets.stream().filter(BodyAdmissionTest::isAdmitted).count();
        assertEquals(atOnce, 4);
        Ticket shortBody = bodies.request(100, () -> {});
        assertTrue(isAdmitted(shortBody));
        bodies.release(shortBody);
        for (int i = 0; i < 30; i++) {
            assertTrue(isAdmitted(tickets.get(i)), "body " + i);
            bodies.release(tickets.get(i));
        }
        assertEquals(admitted.size(), 26);
        assertEquals(admitted, admitted.stream().sorted().toList());
        assertEquals(bodies.heldBytes(), 0);
    }

    /** A body that can never have room is refused at once, and so are too many that wait. */
    @Test
    public void bodiesWithoutProspectAreRefused() {
        BodyAdmission few = new BodyAdmission(MAX_BYTES);
        assertFalse(few.fits(MAX_BYTES));
        assertEquals(few.request(MAX_BYTES, () -> {}).decision(), Decision.REFUSED);
        Ticket all = few.request(MAX_BYTES / 2, () -> {});
        for (int i = 0; i < BodyAdmission.MAX_WAITING; i++) {
            assertEquals(few.request(MAX_BYTES / 2, () -> {}).decision(), Decision.WAITING);
        }
        assertEquals(few.request(MAX_BYTES / 2, () -> {}).decision(), Decision.REFUSED);
        assertTrue(isAdmitted(all));
    }

    /** Whatever bodies come, grow, give up and end, in any order: the bound is kept. */
    @Test
    public void boundIsKept() {
        for (int seed = 0; seed < 300; seed++) {
            playAnyOrder(new Random(seed), "seed " + seed);
        }
    }

    private static void playAnyOrder(Random random, String name) {
        BodyAdmission any = new BodyAdmission(MAX_BYTES);
        List<Ticket> open = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            int choice = random.nextInt(4);
            long bytes =
                    random.nextInt(2) == 0 ? random.nextInt(70_000) : random.nextInt(9_000_000);
            if (choice < 2 || open.isEmpty()) {
                open.add(any.request(bytes, () -> {}));
            } else if (choice == 2 && isAdmitted(open.get(0))) {
                any.grow(open.get(0), bytes);
            } else {
                Ticket ended = open.remove(random.nextInt(open.size()));
                any.release(ended);
                any.release(ended);
            }
            assertTrue(any.heldBytes() >= 0 && any.heldBytes() <= MAX_BYTES, name);
        }
        open.forEach(any::release);
        assertEquals(any.heldBytes(), 0, name);
    }

    private static boolean isAdmitted(Ticket ticket) {
        return ticket.decision() == Decision.ADMITTED;
    }
}
