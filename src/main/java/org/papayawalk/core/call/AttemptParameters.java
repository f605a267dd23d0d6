package org.papayawalk.core.call;

import java.util.Optional;
import java.util.OptionalInt;
import org.papayawalk.core.id.TeamId;
import org.papayawalk.core.id.UpstreamId;

/**
 * Parameters that the entry sets for one attempt to send a request to an upstream. Immutable.
 *
 * @param upstream id of the intended upstream; any other upstream refuses the request
 * @param remainingMillis time until the deadline of the request, in milliseconds
 * @param team team that holds the API key of the caller, empty if the request has no valid key
 * @param weightVersion required version of the weights, empty if any version may answer
 * @param priority priority at the upstream, 0 is the highest; empty for the default of the upstream
 * @param lastEventId id of the last event that the caller received, empty to forward the header of
 *     the caller unchanged
 */
public record AttemptParameters(
        UpstreamId upstream,
        long remainingMillis,
        Optional<TeamId> team,
        OptionalInt weightVersion,
        OptionalInt priority,
        Optional<String> lastEventId) {}
