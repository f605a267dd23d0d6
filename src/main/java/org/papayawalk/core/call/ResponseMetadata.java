package org.papayawalk.core.call;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * Metadata of a response, as stated by the upstream. Immutable.
 *
 * @param requestId id of the request that the response belongs to, empty if not stated or if
 *     several are
 * @param notRun whether the upstream states that it did not run the request
 * @param hasAuthenticationCode whether the response carries an authentication code of the upstream;
 *     the code itself is not verified
 * @param load load report, empty if the response carries none
 * @param limitPerSecond requests per second that the upstream takes from all entries together,
 *     empty if it states no limit
 * @param leaving whether the upstream states that it leaves and takes no new requests
 * @param retryAfter time for which an upstream that refuses the request takes no other, empty if
 *     not stated
 * @param weightVersion version of the weights that produced the response, empty if not stated
 * @param keepAliveSeconds time for which the upstream keeps an idle connection open, in seconds;
 *     empty if not stated
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean notRun,
        boolean hasAuthenticationCode,
        Optional<ReportedLoad> load,
        OptionalDouble limitPerSecond,
        boolean leaving,
        Optional<Duration> retryAfter,
        OptionalInt weightVersion,
        OptionalInt keepAliveSeconds) {}
