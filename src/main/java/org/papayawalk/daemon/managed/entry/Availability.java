package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.place.LoadSheddingRule;

/**
 * Record of whether upstreams of a service can serve requests with the same homes, regardless of
 * their load. Confined to the event loop thread.
 */
final class Availability {
    /** Since when no upstream can serve requests; null if one can. */
    private Instant unavailableSince;

    /** Whether an upstream has been able to serve requests since the start of this entry. */
    private boolean seenAvailable;

    /**
     * Records what was found.
     *
     * @param available whether an upstream can serve requests
     * @param now present time
     */
    void record(boolean available, Instant now) {
        if (available) {
            seenAvailable = true;
            unavailableSince = null;
        } else if (unavailableSince == null) {
            unavailableSince = now;
        }
    }

    /**
     * Returns the present outage.
     *
     * @param now present time
     * @return outage, empty if an upstream can serve requests
     */
    Optional<LoadSheddingRule.Outage> outage(Instant now) {
        return Optional.ofNullable(unavailableSince)
                .map(t -> new LoadSheddingRule.Outage(Duration.between(t, now), !seenAvailable));
    }
}
