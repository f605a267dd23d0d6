package org.papayawalk.core.call;

import java.util.Optional;
import java.util.OptionalInt;
import org.papayawalk.core.id.TeamId;
import org.papayawalk.core.id.UpstreamId;

/**
 * What the system decides about one sending of a request to an upstream. Immutable.
 *
 * @param upstream upstream that is meant; any other one refuses the request
 * @param remainingMillis time that is left for the answer, in milliseconds
 * @param team team that holds the caller's key, empty if no key was asked for
 * @param weightVersion version of the weights that is meant, empty if any may answer
 * @param priority urgency for the upstream, 0 first, empty for its default
 * @param lastEventId last event that the caller has, empty to pass on what the caller sent
 */
public record AttemptParameters(
        UpstreamId upstream,
        long remainingMillis,
        Optional<TeamId> team,
        OptionalInt weightVersion,
        OptionalInt priority,
        Optional<String> lastEventId) {}
