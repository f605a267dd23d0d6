package org.papayawalk.core.admit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.id.TeamId;

/**
 * Bounded queue before one upstream. Higher priorities go first; within a priority, teams share by
 * weight: each start adds 1 / weight to a team's virtual time, and the team with the least goes
 * next. A request that cannot start before its deadline is refused at once. At most {@code
 * maxInFlight} tickets are started at any time. Not thread-safe: callers hold one lock.
 */
public final class AdmissionQueue {
    /** Weight of the newest sample in the mean service time. */
    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    /** Service time assumed before the first sample. */
    private static final Duration INITIAL_SERVICE_TIME = Duration.ofMillis(500);

    /** Shortest time after which a refused caller is told to come back. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    /** Longest time after which a refused caller is told to come back. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

    /** Waiting tickets by priority and team. */
    private final Map<Priority, Map<TeamId, Deque<Ticket>>> waiting = new EnumMap<>(Priority.class);

    /** Virtual time of each team that has run something. */
    private final Map<TeamId, Double> virtualTimes = new HashMap<>();

    /** Requests that the upstream runs at once. */
    private int maxInFlight;

    /** Requests that wait. */
    private int maxQueue;

    /** Tickets started and not finished. */
    private int inFlight;

    /** Tickets that wait. */
    private int queued;

    /** Virtual time of the last start. */
    private double virtualNow;

    /** Mean time that a request runs, in nanoseconds. */
    private double meanServiceNanos = INITIAL_SERVICE_TIME.toNanos();

    /**
     * Creates an empty queue.
     *
     * @param maxInFlight requests that the upstream runs at once, at least 1
     * @param maxQueue requests that wait, at least 0
     */
    public AdmissionQueue(int maxInFlight, int maxQueue) {
        for (Priority p : Priority.values()) {
            waiting.put(p, new HashMap<>());
        }
        setLimits(maxInFlight, maxQueue);
    }

    /**
     * Changes the limits. Tickets beyond a lower limit stay.
     *
     * @param newMaxInFlight requests that the upstream runs at once, at least 1
     * @param newMaxQueue requests that wait, at least 0
     */
    public void setLimits(int newMaxInFlight, int newMaxQueue) {
        maxInFlight = Math.max(1, newMaxInFlight);
        maxQueue = Math.max(0, newMaxQueue);
    }

    /**
     * Decides about a request at its arrival.
     *
     * @param ticket place of the request
     * @param now present time
     * @return whether it starts, waits or is refused
     */
    public Admission offer(Ticket ticket, Instant now) {
        if (!ticket.deadline().isAfter(now)) {
            return Admission.refuse(retryAfter(queued), "the deadline has passed");
        }
        if (inFlight < maxInFlight && queued == 0) {
            start(ticket);
            return Admission.START;
        }
        if (queued >= maxQueue) {
            return Admission.refuse(retryAfter(queued), "the queue is full");
        }
        Duration wait = expectedWait(ticketsAhead(ticket));
        if (now.plus(wait).isAfter(ticket.deadline())) {
            return Admission.refuse(retryAfter(queued), "it could not start before its deadline");
        }
        teamQueue(ticket).addLast(ticket);
        queued++;
        return Admission.WAIT;
    }

    /**
     * Records that a started request has ended.
     *
     * @param ran time that it ran, or null if it was never forwarded
     */
    public void finished(Duration ran) {
        inFlight--;
        if (ran != null) {
            meanServiceNanos += SERVICE_TIME_SMOOTHING * (ran.toNanos() - meanServiceNanos);
        }
    }

    /**
     * Starts the tickets whose turn it is.
     *
     * @return tickets to run now
     */
    public List<Ticket> startNext() {
        List<Ticket> started = new ArrayList<>();
        while (inFlight < maxInFlight && queued > 0) {
            Ticket ticket = takeNext();
            start(ticket);
            started.add(ticket);
        }
        return started;
    }

    /**
     * Removes the tickets whose deadline has passed or cannot be met any more.
     *
     * @param now present time
     * @return tickets to refuse now
     */
    public List<Ticket> removeExpired(Instant now) {
        List<Ticket> expired = new ArrayList<>();
        for (Map<TeamId, Deque<Ticket>> teams : waiting.values()) {
            for (Deque<Ticket> tickets : teams.values()) {
                moveExpired(tickets, now, expired);
            }
            teams.values().removeIf(Deque::isEmpty);
        }
        queued -= expired.size();
        return expired;
    }

    /**
     * Removes a waiting ticket, such as one whose caller has gone.
     *
     * @param ticket ticket to remove
     * @return true if it was waiting
     */
    public boolean remove(Ticket ticket) {
        Deque<Ticket> tickets = waiting.get(ticket.priority()).get(ticket.team());
        if (tickets == null || !tickets.remove(ticket)) {
            return false;
        }
        if (tickets.isEmpty()) {
            waiting.get(ticket.priority()).remove(ticket.team());
        }
        queued--;
        return true;
    }

    /**
     * Removes all waiting tickets.
     *
     * @return tickets to refuse now
     */
    public List<Ticket> removeAll() {
        List<Ticket> all = new ArrayList<>();
        for (Map<TeamId, Deque<Ticket>> teams : waiting.values()) {
            teams.values().forEach(all::addAll);
            teams.clear();
        }
        queued = 0;
        return all;
    }

    /**
     * Returns when a refused caller is to come back.
     *
     * @return time until the present queue has likely drained
     */
    public Duration retryAfter() {
        return retryAfter(queued);
    }

    /**
     * Returns the number of started requests.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return 0 or more
     */
    public int queued() {
        return queued;
    }

    /**
     * Counts a ticket as started.
     *
     * @param ticket ticket that starts
     */
    private void start(Ticket ticket) {
        inFlight++;
        double at = Math.max(virtualNow, virtualTimes.getOrDefault(ticket.team(), 0.0));
        virtualNow = at;
        virtualTimes.put(ticket.team(), at + 1.0 / ticket.weight());
    }

    /**
     * Takes the ticket whose turn it is.
     *
     * @return ticket removed from the queue
     */
    private Ticket takeNext() {
        for (Map<TeamId, Deque<Ticket>> teams : waiting.values()) {
            TeamId next = null;
            double least = Double.MAX_VALUE;
            for (TeamId team : teams.keySet()) {
                double time = Math.max(virtualNow, virtualTimes.getOrDefault(team, 0.0));
                if (time < least || (time == least && team.compareTo(next) < 0)) {
                    least = time;
                    next = team;
                }
            }
            if (next != null) {
                Deque<Ticket> tickets = teams.get(next);
                Ticket ticket = tickets.removeFirst();
                if (tickets.isEmpty()) {
                    teams.remove(next);
                }
                queued--;
                return ticket;
            }
        }
        throw new IllegalStateException("the queue counts " + queued + " tickets but holds none");
    }

    /**
     * Returns the queue of a ticket's team.
     *
     * @param ticket ticket to place
     * @return queue, new if the team has none
     */
    private Deque<Ticket> teamQueue(Ticket ticket) {
        return waiting.get(ticket.priority())
                .computeIfAbsent(ticket.team(), t -> new ArrayDeque<>());
    }

    /**
     * Estimates the tickets that start before a newcomer: its own team's, and of each other team at
     * most as many as the weights give it meanwhile.
     *
     * @param ticket place of the newcomer
     * @return number of tickets
     */
    private int ticketsAhead(Ticket ticket) {
        int ahead = 0;
        for (Map.Entry<Priority, Map<TeamId, Deque<Ticket>>> e : waiting.entrySet()) {
            if (e.getKey().compareTo(ticket.priority()) > 0) {
                break;
            }
            boolean same = e.getKey() == ticket.priority();
            Deque<Ticket> own = e.getValue().get(ticket.team());
            int turn = own == null ? 1 : own.size() + 1;
            for (Map.Entry<TeamId, Deque<Ticket>> team : e.getValue().entrySet()) {
                int n = team.getValue().size();
                if (same && !team.getKey().equals(ticket.team())) {
                    int weight = team.getValue().peekFirst().weight();
                    n = Math.min(n, turn * weight / ticket.weight() + 1);
                }
                ahead += n;
            }
        }
        return ahead;
    }

    /**
     * Estimates the time until a number of waiting tickets have started.
     *
     * @param tickets number of tickets
     * @return time
     */
    private Duration expectedWait(int tickets) {
        return Duration.ofNanos((long) (meanServiceNanos * (tickets + 1) / maxInFlight));
    }

    /**
     * Computes when a refused caller is to come back.
     *
     * @param tickets waiting tickets
     * @return time within fixed bounds
     */
    private Duration retryAfter(int tickets) {
        Duration wait = expectedWait(tickets);
        if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }

    /**
     * Moves expired tickets to a list.
     *
     * @param tickets queue of a team
     * @param now present time
     * @param expired list to add to
     */
    private static void moveExpired(Deque<Ticket> tickets, Instant now, List<Ticket> expired) {
        Iterator<Ticket> it = tickets.iterator();
        while (it.hasNext()) {
            Ticket ticket = it.next();
            if (!ticket.deadline().isAfter(now)) {
                it.remove();
                expired.add(ticket);
            }
        }
    }
}
