package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.RunningTime;
import org.papayawalk.core.stream.VerbatimEventSplitter;

/**
 * Progress of one upstream's event stream. Only new events are progress: bytes that never end an
 * event and events that come again are not. Standstills of the entry count for nothing. Confined to
 * the event loop thread.
 */
final class StreamProgress {
    /** Size limit of an event in bytes. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    /**
     * Time in which bytes must end an event; callers abandon a stream after a gap of this length.
     */
    static final Duration EVENT_TIMEOUT = Duration.ofSeconds(2);

    private final RunningTime runningTime;

    /** Running time at which the last new event came, or the head of the response. */
    private Instant lastEventAt;

    /** Running time at which bytes were last received. */
    private Instant lastBytesAt;

    /** Largest event id of this upstream; negative if there is none. */
    private long lastEventId = -1;

    /**
     * Creates the progress of a stream whose head was received.
     *
     * @param now present time
     * @param runningTime time without the standstills of the entry
     */
    StreamProgress(Instant now, RunningTime runningTime) {
        this.runningTime = runningTime;
        lastEventAt = runningTime.at(now);
        lastBytesAt = lastEventAt;
    }

    /**
     * Records that bytes were received.
     *
     * @param now present time
     */
    void bytesReceived(Instant now) {
        lastBytesAt = runningTime.at(now);
    }

    /**
     * Records a complete event.
     *
     * @param event event
     * @param now present time
     */
    void eventReceived(VerbatimEventSplitter.Event event, Instant now) {
        if (event.id().isPresent()) {
            if (event.id().getAsLong() <= lastEventId) {
                return;
            }
            lastEventId = event.id().getAsLong();
        }
        lastEventAt = runningTime.at(now);
    }

    /**
     * Returns whether bytes have come without a new event for too long. A silent stream is not
     * stuck in this sense.
     *
     * @param now present time
     * @return true if bytes came, but no new event within the event timeout
     */
    boolean isStuck(Instant now) {
        return lastBytesAt.isAfter(lastEventAt) && !stuckAt().isAfter(runningTime.at(now));
    }

    /**
     * Returns when the stream is stuck unless a new event comes.
     *
     * @return running time
     */
    Instant stuckAt() {
        return lastEventAt.plus(EVENT_TIMEOUT);
    }
}
