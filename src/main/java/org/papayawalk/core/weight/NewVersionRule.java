package org.papayawalk.core.weight;

import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.place.RequestedVersion;

/**
 * Decides whether a version of the weights is new, which means that possibly no host holds it yet.
 * Answers the load of restarts: a daemon that fetches as new what its neighbors hold already takes
 * another copy from the origin and across the links between regions. Stateless; thread-safe.
 */
public final class NewVersionRule {

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
}
