package org.papayawalk.core.admit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.id.TeamId;
import org.testng.annotations.Test;

/** Tests {@link AdmissionQueue}. */
public final class AdmissionQueueTest {
    private static final Instant NOW = Instant.EPOCH;

    private static final TeamId LARGE = new TeamId("large");

    private static final TeamId SMALL = new TeamId("small");

    /** Starts and queues up to the limits, and refuses further requests with a retry delay. */
    @Test
    public void refusesBeyondQueueWithRetryAfter() {
        AdmissionQueue queue = new AdmissionQueue(1, 1);
        assertEquals(queue.offer(ticket(LARGE, 1), NOW).verdict(), Admission.Verdict.START);
        assertEquals(queue.offer(ticket(LARGE, 1), NOW).verdict(), Admission.Verdict.WAIT);
        Admission third = queue.offer(ticket(LARGE, 1), NOW);
        assertEquals(third.verdict(), Admission.Verdict.REFUSE);
        assertTrue(third.retryAfter().compareTo(Duration.ZERO) > 0);
    }

    /** A burst of a large team does not delay a small team. */
    @Test
    public void smallTeamGoesNextAfterBurst() {
        AdmissionQueue queue = new AdmissionQueue(1, 100);
        for (int i = 0; i < 50; i++) {
            queue.offer(ticket(LARGE, 1), NOW);
        }
        queue.offer(ticket(SMALL, 1), NOW);
        queue.finished(Duration.ofMillis(10));
        assertEquals(queue.startNext().get(0).team(), SMALL);
    }

    /** Teams share the capacity by their weights. */
    @Test
    public void teamsShareByWeight() {
        AdmissionQueue queue = new AdmissionQueue(1, 200);
        for (int i = 0; i < 60; i++) {
            queue.offer(ticket(LARGE, 3), NOW);
            queue.offer(ticket(SMALL, 1), NOW);
        }
        List<TeamId> started = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            queue.finished(Duration.ofMillis(10));
            queue.startNext().forEach(t -> started.add(t.team()));
        }
        long large = started.stream().filter(LARGE::equals).count();
        assertTrue(large >= 29 && large <= 31, "large team started " + large + " of 40");
    }

    /** A request that cannot start before its deadline is refused at once. */
    @Test
    public void refusesRequestThatCannotStartBeforeItsDeadline() {
        AdmissionQueue queue = new AdmissionQueue(1, 100);
        queue.offer(ticket(LARGE, 1), NOW);
        Ticket urgent = new Ticket(SMALL, 1, Priority.NORMAL, NOW.plusMillis(1));
        assertEquals(queue.offer(urgent, NOW).verdict(), Admission.Verdict.REFUSE);
    }

    /** Higher priorities start first. */
    @Test
    public void startsHigherPriorityFirst() {
        AdmissionQueue queue = new AdmissionQueue(1, 100);
        queue.offer(ticket(LARGE, 1), NOW);
        queue.offer(ticket(LARGE, 1), NOW);
        Ticket high = new Ticket(LARGE, 1, Priority.HIGH, NOW.plusSeconds(60));
        queue.offer(high, NOW);
        queue.finished(Duration.ofMillis(10));
        assertEquals(queue.startNext(), List.of(high));
    }

    /** Removes waiting requests when their deadline has passed. */
    @Test
    public void expiresWaitingRequests() {
        AdmissionQueue queue = new AdmissionQueue(1, 100);
        queue.offer(ticket(LARGE, 1), NOW);
        Ticket waits = ticket(SMALL, 1);
        queue.offer(waits, NOW);
        assertEquals(queue.removeExpired(NOW.plusSeconds(61)), List.of(waits));
        assertEquals(queue.queued(), 0);
    }

    // Returns a ticket whose deadline no test but the one on expiry reaches.
    private static Ticket ticket(TeamId team, int weight) {
        return new Ticket(team, weight, Priority.NORMAL, NOW.plusSeconds(60));
    }
}
