package org.papayawalk.core.desired;

import java.util.OptionalInt;
import org.papayawalk.core.id.TeamId;

/**
 * Team that holds one or more API keys. Immutable.
 *
 * @param team name of the team
 * @param priority priority that overrides that of the route, 0 is the highest; empty if the team
 *     has none of its own
 * @param homes regions in which the requests of the team may be served
 */
public record Caller(TeamId team, OptionalInt priority, Homes homes) {

    /**
     * Creates a team whose requests may be served in every region.
     *
     * @param team see the component
     * @param priority see the component
     */
    public Caller(TeamId team, OptionalInt priority) {
        this(team, priority, Homes.ANYWHERE);
    }
}
