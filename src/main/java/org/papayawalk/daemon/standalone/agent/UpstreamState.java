package org.papayawalk.daemon.standalone.agent;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.id.Digest;

/**
 * What the upstream last reported. Immutable.
 *
 * @param incarnation start time of its process in milliseconds since the epoch, 0 if unknown
 * @param serving digest that it serves, none for a service or if unknown
 * @param answeredAt when it last answered
 */
public record UpstreamState(long incarnation, Digest serving, Instant answeredAt) {
    /** State before the first report. */
    public static final UpstreamState UNKNOWN = new UpstreamState(0, Digest.NONE, Instant.MIN);

    /** Silence after which an upstream counts as unhealthy. */
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);

    /**
     * Tells whether the upstream answered lately.
     *
     * @param now present time
     * @return true if it did
     */
    public boolean healthy(Instant now) {
        return answeredAt.plus(SILENCE_LIMIT).isAfter(now);
    }
}
