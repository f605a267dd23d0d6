package org.papayawalk.core.admit;

import java.time.Instant;
import org.papayawalk.core.id.TeamId;

/** A request's place in the admission. Equal only to itself. Immutable. */
public final class Ticket {
    /** Team that sent the request. */
    private final TeamId team;

    /** Share of the team, at least 1. */
    private final int weight;

    /** Priority of the request. */
    private final Priority priority;

    /** When the caller gives up. */
    private final Instant deadline;

    /**
     * Creates a ticket.
     *
     * @param team team that sent the request
     * @param weight share of the team, at least 1
     * @param priority priority of the request
     * @param deadline when the caller gives up
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
     * Returns the share of the team.
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
     * @return when the caller gives up
     */
    public Instant deadline() {
        return deadline;
    }
}
