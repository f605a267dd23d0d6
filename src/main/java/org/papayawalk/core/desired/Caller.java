package org.papayawalk.core.desired;

import java.util.OptionalInt;
import org.papayawalk.core.id.TeamId;

/**
 * Team that holds a key. Immutable.
 *
 * @param team name of the team
 * @param priority rank that goes before the route's, 0 is the most urgent, if the team has one
 */
public record Caller(TeamId team, OptionalInt priority) {}
