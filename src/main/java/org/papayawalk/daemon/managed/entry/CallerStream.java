package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Instant;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.papayawalk.core.stream.VerbatimEventSplitter;
import org.papayawalk.platform.HeaderCodec;

/**
 * Streamed response to a caller. Another upstream may resume it: the caller gets the head of the
 * first upstream, and each event once and in order. Confined to the event loop thread.
 */
final class CallerStream {
    private final CallerHandler caller;

    /** Method of the caller's request. */
    private final HttpMethod method;

    /** Whether the head was sent. */
    private boolean started;

    /** Media type in the head that was sent; null if it states none. */
    private String mediaType;

    /** Id of the last event that the caller has; negative if it has none. */
    private long lastEventId = -1;

    private Instant firstEventAt;

    /** Whether the caller has an event. */
    private boolean eventForwarded;

    /** Whether an event without an id may be one that the caller has from an earlier upstream. */
    private boolean mayRepeat;

    /** Whether the caller has an event without an id, so that its place can't be found again. */
    private boolean unnumbered;

    /**
     * Creates a stream that has not started.
     *
     * @param caller connection of the caller
     * @param method method of the caller's request
     * @param resumedAfter Last-Event-Id of the caller's request; ignored unless it is a decimal
     *     number of at most 18 digits
     */
    CallerStream(CallerHandler caller, HttpMethod method, Optional<String> resumedAfter) {
        this.caller = caller;
        this.method = method;
        resumedAfter
                .filter(e -> e.matches("[0-9]{1,18}"))
                .ifPresent(e -> lastEventId = Long.parseLong(e));
    }

    /**
     * Returns whether the body of a response can be forwarded.
     *
     * @param response head of an upstream's response that has events
     * @return false if the caller has the head of a stream of another media type, or events that
     *     would come twice, or asked for the head alone
     */
    boolean accepts(HttpResponse response) {
        if (method.equals(HttpMethod.HEAD)) {
            return false;
        }
        return !started || (isResumable() && Objects.equals(mediaType, mediaType(response)));
    }

    /**
     * Returns whether another upstream can go on after the events that the caller has.
     *
     * @return false once an event without an id was forwarded
     */
    boolean isResumable() {
        return !unnumbered;
    }

    /**
     * Sends the head, unless the head of an earlier upstream was sent.
     *
     * @param response head of an upstream's response
     */
    void start(HttpResponse response) {
        if (started) {
            mayRepeat = eventForwarded;
            return;
        }
        started = true;
        mediaType = mediaType(response);
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
        HeaderCodec.copyToCaller(response.headers(), head.headers());
        caller.startStream(head);
    }

    /**
     * Forwards an event, unless the caller already has it.
     *
     * @param event complete event
     * @param now present time
     * @return false if it isn't forwarded as the caller may already have it: it has no id, none
     *     before it of its upstream has one, and another upstream has sent events
     */
    boolean forward(VerbatimEventSplitter.Event event, Instant now) {
        if (event.id().isPresent()) {
            mayRepeat = false;
            if (event.id().getAsLong() <= lastEventId) {
                return true;
            }
            lastEventId = event.id().getAsLong();
        } else if (event.hasData()) {
            if (mayRepeat) {
                return false;
            }
            unnumbered = true;
        }
        eventForwarded |= event.id().isPresent() || event.hasData();
        if (firstEventAt == null) {
            firstEventAt = now;
        }
        caller.writeStreamData(event.bytes());
        return true;
    }

    /**
     * Forwards the bytes after the last complete event of a stream that ended.
     *
     * @param bytes bytes, may be empty
     */
    void forwardRemainder(byte[] bytes) {
        if (bytes.length > 0) {
            caller.writeStreamData(bytes);
        }
    }

    /** Ends the response as complete. */
    void end() {
        caller.endStream();
    }

    /** Ends the response as incomplete. */
    void abort() {
        caller.abortStream();
    }

    /**
     * Returns whether the head was sent.
     *
     * @return true if the caller has received part of the response
     */
    boolean started() {
        return started;
    }

    /**
     * Returns whether the caller reads as fast as data is written.
     *
     * @return false while the outbound buffer is above its high-water mark
     */
    boolean isWritable() {
        return caller.isWritable();
    }

    /**
     * Returns the id of the last event that the caller has.
     *
     * @return decimal number, empty if the caller has no event
     */
    Optional<String> lastEventId() {
        return lastEventId < 0 ? Optional.empty() : Optional.of(Long.toString(lastEventId));
    }

    /**
     * Returns when the first event was forwarded.
     *
     * @return time, empty before the first event
     */
    Optional<Instant> firstEventAt() {
        return Optional.ofNullable(firstEventAt);
    }

    private static String mediaType(HttpResponse response) {
        CharSequence type = HttpUtil.getMimeType(response);
        return type == null ? null : type.toString().toLowerCase(Locale.ROOT);
    }
}
