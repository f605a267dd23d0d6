package org.papayawalk.core.desired;

import java.util.OptionalInt;
import org.papayawalk.core.id.TeamId;

/**
 * Team that holds one or more API keys. Immutable.
 *
 * @param team name of the team
 * @param priority priority that overrides that of the route, 0 is the highest; empty if the team
 *     has none of its own
 */
public record Caller(TeamId team, OptionalInt priority) {}
