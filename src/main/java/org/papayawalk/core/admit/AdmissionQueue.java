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
 * Bounded admission queue in front of one upstream. Higher priorities start first; within a
 * priority, teams share the capacity by weighted fair queueing: each start adds 1 / weight to the
 * virtual time of the team, and the team with the least virtual time is next. A request that cannot
 * start before its deadline is refused at once. At most {@code maxInFlight} tickets are in flight,
 * unless the limit was lowered meanwhile. Not thread-safe: callers hold one lock.
 */
public final class AdmissionQueue {
    /** Weight of the newest sample in the moving average of the service time. */
    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    /** Service time assumed until the first sample. */
    private static final Duration INITIAL_SERVICE_TIME = Duration.ofMillis(500);

    /** Shortest delay after which a refused caller may retry. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    /** Longest delay after which a refused caller may retry. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

    /** Waiting tickets by priority and team, each team in order of arrival. */
    private final Map<Priority, Map<TeamId, Deque<Ticket>>> waiting = new EnumMap<>(Priority.class);

    /** Virtual time of each team that has started a ticket. */
    private final Map<TeamId, Double> virtualTimes = new HashMap<>();

    private int maxInFlight;
    private int maxQueue;

    /** Tickets that are started and not finished. */
    private int inFlight;

    /** Tickets that wait, in all priorities and teams. */
    private int queued;

    /** Virtual time at the last start. */
    private double virtualNow;

    /** Moving average of the service time of a request, in nanoseconds. */
    private double meanServiceNanos = INITIAL_SERVICE_TIME.toNanos();

    /**
     * Creates an empty queue.
     *
     * @param maxInFlight maximum number of started requests; less than 1 counts as 1
     * @param maxQueue maximum number of waiting requests; less than 0 counts as 0
     */
    public AdmissionQueue(int maxInFlight, int maxQueue) {
        for (Priority p : Priority.values()) {
            waiting.put(p, new HashMap<>());
        }
        setLimits(maxInFlight, maxQueue);
    }

    /**
     * Changes the limits. Keeps the tickets that exceed a lowered limit.
     *
     * @param newMaxInFlight maximum number of started requests; less than 1 counts as 1
     * @param newMaxQueue maximum number of waiting requests; less than 0 counts as 0
     */
    public void setLimits(int newMaxInFlight, int newMaxQueue) {
        maxInFlight = Math.max(1, newMaxInFlight);
        maxQueue = Math.max(0, newMaxQueue);
    }

    /**
     * Decides whether a request starts, waits or is refused at its arrival.
     *
     * @param ticket ticket of the request; in the queue afterwards if it waits
     * @param now present time
     * @return decision
     */
    public Admission offer(Ticket ticket, Instant now) {
        if (!ticket.deadline().isAfter(now)) {
            return Admission.refuse(retryAfter(queued), "request deadline passed before admission");
        }
        if (inFlight < maxInFlight && queued == 0) {
            start(ticket);
            return Admission.START;
        }
        if (queued >= maxQueue) {
            return Admission.refuse(
                    retryAfter(queued), "admission queue is full, limit " + maxQueue);
        }
        Duration wait = expectedWait(ticketsAhead(ticket));
        if (now.plus(wait).isAfter(ticket.deadline())) {
            return Admission.refuse(
                    retryAfter(queued), "request would not start before its deadline");
        }
        teamQueue(ticket).addLast(ticket);
        queued++;
        return Admission.WAIT;
    }

    /**
     * Records that a started request has ended.
     *
     * @param serviceTime time from its start to its end, or null if it was never forwarded
     */
    public void finished(Duration serviceTime) {
        inFlight--;
        if (serviceTime != null) {
            meanServiceNanos += SERVICE_TIME_SMOOTHING * (serviceTime.toNanos() - meanServiceNanos);
        }
    }

    /**
     * Starts waiting tickets while fewer than the limit are in flight.
     *
     * @return started tickets, in the order in which they were started
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
     * Removes the waiting tickets whose deadline has passed.
     *
     * @param now present time
     * @return removed tickets, whose requests are to be refused
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
     * Removes a waiting ticket, such as one whose caller has disconnected.
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
     * @return removed tickets, whose requests are to be refused
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
     * Returns the delay after which a refused caller may retry.
     *
     * @return estimated time until all waiting tickets have started, within fixed bounds
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

    // Counts a ticket as started and advances the virtual time of its team.
    private void start(Ticket ticket) {
        inFlight++;
        double at = Math.max(virtualNow, virtualTimes.getOrDefault(ticket.team(), 0.0));
        virtualNow = at;
        virtualTimes.put(ticket.team(), at + 1.0 / ticket.weight());
    }

    // Removes the ticket to start next: highest priority first, then the team with the least
    // virtual time, then the order of team ids.
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
        throw new IllegalStateException(
                "admission queue counter is " + queued + " but no ticket is waiting");
    }

    // Returns the queue of a ticket's priority and team; creates it if there is none.
    private Deque<Ticket> teamQueue(Ticket ticket) {
        return waiting.get(ticket.priority())
                .computeIfAbsent(ticket.team(), t -> new ArrayDeque<>());
    }

    // Estimates how many waiting tickets start before a new one: all of higher priorities and
    // of its own team, and of each other team at most as many as its weight allows meanwhile.
    private int ticketsAhead(Ticket ticket) {
        int ahead = 0;
        for (Map.Entry<Priority, Map<TeamId, Deque<Ticket>>> e : waiting.entrySet()) {
            if (e.getKey().compareTo(ticket.priority()) > 0) {
                break;
            }
            boolean same = e.getKey() == ticket.priority();
            Deque<Ticket> own = e.getValue().get(ticket.team());
            int position = own == null ? 1 : own.size() + 1;
            for (Map.Entry<TeamId, Deque<Ticket>> team : e.getValue().entrySet()) {
                int n = team.getValue().size();
                if (same && !team.getKey().equals(ticket.team())) {
                    int weight = team.getValue().peekFirst().weight();
                    n = Math.min(n, position * weight / ticket.weight() + 1);
                }
                ahead += n;
            }
        }
        return ahead;
    }

    // Estimates the time until a ticket starts that has a number of tickets ahead of it.
    private Duration expectedWait(int tickets) {
        return Duration.ofNanos((long) (meanServiceNanos * (tickets + 1) / maxInFlight));
    }

    // Returns the expected wait behind a number of waiting tickets, within fixed bounds.
    private Duration retryAfter(int tickets) {
        Duration wait = expectedWait(tickets);
        if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }

    // Moves the expired tickets of a team to a list.
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
