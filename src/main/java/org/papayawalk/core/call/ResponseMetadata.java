package org.papayawalk.core.call;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What an upstream states about its answer. Immutable.
 *
 * @param requestId id of the request that it answers, empty if not stated
 * @param notRun whether it states that it did not run the request
 * @param hasAuthenticationCode whether the answer bears the upstream's authentication code
 * @param load load that it reports, empty if it reports none
 * @param weightVersion version of the weights that it answers with, empty if not stated
 * @param keepAliveSeconds time for which it keeps an idle connection, empty if not stated
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean notRun,
        boolean hasAuthenticationCode,
        Optional<ReportedLoad> load,
        OptionalInt weightVersion,
        OptionalInt keepAliveSeconds) {}
