package org.papayawalk.core.rollout;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.id.Digest;

/**
 * Order to an engine to change the version that it serves. Immutable.
 *
 * @param expected version that the engine must still serve, none if it serves nothing
 * @param target version to change to
 * @param fencingNumber number of the lease under which the order is given
 * @param leaseExpiry when the lease lapses, by the agent's own monotonic clock
 */
public record SwitchCommand(
        Digest expected, Digest target, long fencingNumber, Instant leaseExpiry) {
    /** Time that must be left on the lease when the order is sent. */
    public static final Duration MIN_LEASE_REMAINDER = Duration.ofSeconds(1);

    /**
     * Tells whether the order may still be sent. Engines that ignore fencing numbers depend on this
     * check, so it is made right before sending.
     *
     * @param now present time
     * @return true if the lease has more than the margin left
     */
    public boolean maySend(Instant now) {
        return now.isBefore(leaseExpiry.minus(MIN_LEASE_REMAINDER));
    }
}
