package org.papayawalk.daemon.standalone.agent;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.id.Digest;

/**
 * Health report of an upstream. Immutable.
 *
 * @param incarnation start time of the upstream's process in milliseconds since the epoch, 0 if
 *     unknown
 * @param serving digest of the version that it serves, none for a service or if unknown
 * @param lastResponseAt when this report was received
 */
public record UpstreamState(long incarnation, Digest serving, Instant lastResponseAt) {
    /** State before the first report. */
    public static final UpstreamState UNKNOWN = new UpstreamState(0, Digest.NONE, Instant.MIN);

    /** Age of a report after which the upstream counts as unhealthy. */
    private static final Duration HEALTH_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Returns whether the upstream answered a probe recently.
     *
     * @param now present time
     * @return true if the report is recent enough
     */
    public boolean isHealthy(Instant now) {
        return lastResponseAt.plus(HEALTH_TIMEOUT).isAfter(now);
    }
}
