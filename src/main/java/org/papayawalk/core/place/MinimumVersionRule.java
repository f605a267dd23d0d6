package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;

/**
 * Decides which version of weights may answer. For a while after a new version was named, upstreams
 * that still hold an older one go on answering; after that only the new one does. Immutable.
 */
public final class MinimumVersionRule {
    /** Time before the limit at which old versions stop answering. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(900);

    /** Time for which old versions go on answering. */
    private final Duration gracePeriod;

    /**
     * Creates a rule.
     *
     * @param limit time after which a named version must be everywhere
     */
    public MinimumVersionRule(Duration limit) {
        gracePeriod = limit.minus(SAFETY_MARGIN);
    }

    /**
     * Returns the version that has to answer. Each version is judged from its own naming on, so
     * that a newer one does not give an older one more time.
     *
     * @param named versions named, the newest last
     * @param now present time
     * @return lowest version that may answer, empty if any may
     */
    public OptionalInt lowestAllowed(List<RequestedVersion> named, Instant now) {
        return named.stream()
                .filter(v -> !v.receivedAt().plus(gracePeriod).isAfter(now))
                .mapToInt(RequestedVersion::number)
                .max();
    }
}
