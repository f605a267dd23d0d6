package org.papayawalk.core.rollout;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.id.Digest;

/**
 * Command to an engine to switch to another version. The engine compares the version that it serves
 * with the expected one. Immutable.
 *
 * @param expected version that the engine must serve when it switches, {@link Digest#NONE} if it
 *     serves none
 * @param target version to switch to
 * @param fencingNumber fencing number of the lease that permits the command
 * @param leaseExpiry when the lease expires, by the monotonic clock of the agent
 */
public record SwitchCommand(
        Digest expected, Digest target, long fencingNumber, Instant leaseExpiry) {
    /** Time that must remain on the lease when the command is sent. */
    public static final Duration MIN_LEASE_REMAINDER = Duration.ofSeconds(1);

    /**
     * Returns whether the command may still be sent. Engines that ignore fencing numbers are
     * protected by this check only, so the caller makes it immediately before sending.
     *
     * @param now present time, by the monotonic clock of the agent
     * @return true if more than {@link #MIN_LEASE_REMAINDER} remains on the lease
     */
    public boolean maySend(Instant now) {
        return now.isBefore(leaseExpiry.minus(MIN_LEASE_REMAINDER));
    }
}
