package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.place.RequestedVersion;

/**
 * Decides whether a version of the weights is new, which means that possibly no host holds it yet.
 * Answers the load of restarts: a daemon that fetches as new what its neighbors hold already takes
 * another copy from the origin and across the links between regions. Stateless; thread-safe.
 */
public final class NewVersionRule {

    /** Age up to which no host holds chunks that it could offer in time. */
    private static final Duration JUST_REQUESTED = Duration.ofMillis(500);

    private NewVersionRule() {}

    /**
     * Returns whether a version may have to be fetched from the origin.
     *
     * @param requested version that the operator requested, empty if none was requested
     * @param firstStart whether the whole system started for the first time
     * @param served whether an engine is known to serve the version
     * @return true if the version was requested while this daemon runs, or if this daemon was
     *     restarted, possibly together with all others, and no engine serves the version
     */
    public static boolean isNew(
            Optional<RequestedVersion> requested, boolean firstStart, boolean served) {
        boolean whileRunning =
                requested.filter(v -> !v.receivedAt().equals(Instant.MIN)).isPresent();
        return whileRunning || (!firstStart && !served);
    }

    /**
     * Returns whether a version was requested so recently that its chunks are best fetched at once.
     * Answers the load of a slow origin, whose link should be in use from the first moment.
     *
     * @param requested version that the operator requested, empty if none was requested
     * @param now present time
     * @return false also if the time of the request is not known
     */
    public static boolean isJustRequested(Optional<RequestedVersion> requested, Instant now) {
        return requested
                .filter(v -> !v.receivedAt().equals(Instant.MIN))
                .filter(v -> now.isBefore(v.receivedAt().plus(JUST_REQUESTED)))
                .isPresent();
    }
}
