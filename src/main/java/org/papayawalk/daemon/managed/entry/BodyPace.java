package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a body that is being received ends before the deadline of its request. Immutable;
 * thread-safe.
 *
 * @param startedAt when the head of the response was received
 * @param statedBytes Content-Length, negative if the response states none
 * @param receivedBytes bytes of the body received so far
 */
record BodyPace(Instant startedAt, long statedBytes, long receivedBytes) {
    /**
     * Returns whether the body is expected to end in time. A body without a stated length has no
     * expected end.
     *
     * @param now present time
     * @param deadline when the response is due
     * @return true if the rest comes by the deadline at the mean rate so far
     */
    boolean endsInTime(Instant now, Instant deadline) {
        if (statedBytes < 0 || receivedBytes == 0) {
            return false;
        }
        long spentMillis = Duration.between(startedAt, now).toMillis();
        double restBytes = (double) statedBytes - receivedBytes;
        double restMillis = spentMillis * restBytes / receivedBytes;
        return restMillis <= Duration.between(now, deadline).toMillis();
    }
}
