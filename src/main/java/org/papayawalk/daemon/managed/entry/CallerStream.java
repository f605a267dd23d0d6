package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.stream.VerbatimEventSplitter;
import org.papayawalk.platform.HeaderCodec;

/**
 * Streamed answer to a caller. It may be continued by another upstream: the head is that of the
 * first one, and each event is passed on once and in order. Confined to the traffic thread.
 */
final class CallerStream {
    /** Connection of the caller. */
    private final CallerHandler caller;

    /** Whether the head was sent. */
    private boolean begun;

    /** Number of the last event that the caller has, negative if it has none. */
    private long lastEvent = -1;

    /** When the first event was passed on. */
    private Instant firstAt;

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
                .ifPresent(e -> lastEvent = Long.parseLong(e));
    }

    /**
     * Sends the head, unless an earlier upstream's head was sent.
     *
     * @param response head of an upstream
     */
    void begin(HttpResponse response) {
        if (begun) {
            return;
        }
        begun = true;
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
        HeaderCodec.copyToCaller(response.headers(), head.headers());
        caller.startStream(head);
    }

    /**
     * Passes an event on, unless the caller has it already.
     *
     * @param event event
     * @param now present time
     */
    void pass(VerbatimEventSplitter.Event event, Instant now) {
        if (event.id().isPresent()) {
            if (event.id().getAsLong() <= lastEvent) {
                return;
            }
            lastEvent = event.id().getAsLong();
        }
        if (firstAt == null) {
            firstAt = now;
        }
        caller.stream(event.bytes());
    }

    /**
     * Passes the bytes behind the last event on.
     *
     * @param bytes bytes, may be none
     */
    void passRest(byte[] bytes) {
        if (bytes.length > 0) {
            caller.stream(bytes);
        }
    }

    /** Ends the answer as complete. */
    void end() {
        caller.endStream();
    }

    /** Ends the answer as incomplete. */
    void breakOff() {
        caller.breakStream();
    }

    /**
     * Tells whether the head was sent.
     *
     * @return true if the caller has a part of the answer
     */
    boolean begun() {
        return begun;
    }

    /**
     * Tells whether the caller takes bytes as fast as they come.
     *
     * @return false while too many are waiting to be sent
     */
    boolean flowing() {
        return caller.isWritable();
    }

    /**
     * Returns the last event that the caller has.
     *
     * @return number, empty if it has none
     */
    Optional<String> lastEvent() {
        return lastEvent < 0 ? Optional.empty() : Optional.of(Long.toString(lastEvent));
    }

    /**
     * Returns when the first event was passed on.
     *
     * @return time, empty before the first event
     */
    Optional<Instant> firstAt() {
        return Optional.ofNullable(firstAt);
    }
}
