package org.papayawalk.core.admit;

import java.time.Instant;
import org.papayawalk.core.id.TeamId;

/**
 * Handle of a request in the {@link AdmissionQueue}, with the values that decide when it starts.
 * Immutable; compared by identity.
 */
public final class Ticket {
    private final TeamId team;
    private final int weight;
    private final Priority priority;
    private final Instant deadline;

    /**
     * Creates a ticket.
     *
     * @param team team that sent the request
     * @param weight weight of the team in fair queueing, at least 1
     * @param priority priority of the request
     * @param deadline time after which the caller no longer waits for the answer
     */
    public Ticket(TeamId team, int weight, Priority priority, Instant deadline) {
        this.team = team;
        this.weight = weight;
        this.priority = priority;
        this.deadline = deadline;
    }

    /**
     * Returns the team.
     *
     * @return team that sent the request
     */
    public TeamId team() {
        return team;
    }

    /**
     * Returns the weight of the team in fair queueing.
     *
     * @return weight, at least 1
     */
    public int weight() {
        return weight;
    }

    /**
     * Returns the priority.
     *
     * @return priority of the request
     */
    public Priority priority() {
        return priority;
    }

    /**
     * Returns the deadline.
     *
     * @return time after which the caller no longer waits for the answer
     */
    public Instant deadline() {
        return deadline;
    }
}
