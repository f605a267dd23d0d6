package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.stream.EventCutter;
import org.papayawalk.platform.CallHeaders;

/**
 * Streamed answer to a caller. It may be continued by another upstream: the head is that of the
 * first one, and each event is passed on once and in order. Confined to the traffic thread.
 */
final class CallerStream {
    /** Connection of the caller. */
    private final CallerHandler caller;

    /** Whether the head was sent. */
    private boolean started;

    /** Number of the last event that the caller has, negative if it has none. */
    private long lastEventId = -1;

    /** When the first event was passed on. */
    private Instant firstEventAt;

    /**
     * Creates a stream that was not begun.
     *
     * @param caller connection of the caller
     * @param resumedAfter last event that the caller has from an earlier request, as it states it
     */
    CallerStream(CallerHandler caller, Optional<String> resumedAfter) {
        this.caller = caller;
        resumedAfter
                .filter(e -> e.matches("[0-9]{1,18}"))
                .ifPresent(e -> lastEventId = Long.parseLong(e));
    }

    /**
     * Sends the head, unless an earlier upstream's head was sent.
     *
     * @param response head of an upstream
     */
    void start(HttpResponse response) {
        if (started) {
            return;
        }
        started = true;
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
        CallHeaders.toCaller(response.headers(), head.headers());
        caller.startStream(head);
    }

    /**
     * Passes an event on, unless the caller has it already.
     *
     * @param event event
     * @param now present time
     */
    void forward(EventCutter.Event event, Instant now) {
        if (event.id().isPresent()) {
            if (event.id().getAsLong() <= lastEventId) {
                return;
            }
            lastEventId = event.id().getAsLong();
        }
        if (firstEventAt == null) {
            firstEventAt = now;
        }
        caller.writeStreamData(event.bytes());
    }

    /**
     * Passes the bytes behind the last event on.
     *
     * @param bytes bytes, may be none
     */
    void forwardRemainder(byte[] bytes) {
        if (bytes.length > 0) {
            caller.writeStreamData(bytes);
        }
    }

    /** Ends the answer as complete. */
    void end() {
        caller.endStream();
    }

    /** Ends the answer as incomplete. */
    void abort() {
        caller.abortStream();
    }

    /**
     * Tells whether the head was sent.
     *
     * @return true if the caller has a part of the answer
     */
    boolean started() {
        return started;
    }

    /**
     * Tells whether the caller takes bytes as fast as they come.
     *
     * @return false while too many are waiting to be sent
     */
    boolean isWritable() {
        return caller.isWritable();
    }

    /**
     * Returns the last event that the caller has.
     *
     * @return number, empty if it has none
     */
    Optional<String> lastEventId() {
        return lastEventId < 0 ? Optional.empty() : Optional.of(Long.toString(lastEventId));
    }

    /**
     * Returns when the first event was passed on.
     *
     * @return time, empty before the first event
     */
    Optional<Instant> firstEventAt() {
        return Optional.ofNullable(firstEventAt);
    }
}
