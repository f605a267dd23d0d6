package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.stream.BodyEnd;
import org.papayawalk.core.stream.StreamEndRule;
import org.papayawalk.core.stream.VerbatimEventSplitter;
import org.papayawalk.http.StatusLine;

/**
 * Receives the stream of one upstream and forwards each event once it is complete, up to the start
 * of another response. Confined to the event loop thread.
 */
final class StreamReceiver {
    private static final String RESPONSE_INSIDE = "another response begins inside the stream";

    private final VerbatimEventSplitter splitter = new VerbatimEventSplitter();

    private final CallerStream stream;

    private final StreamProgress progress;

    /** Whether the body has events; one of another media type has none. */
    private final boolean hasEvents;

    /** Whether another response began where the next event was due. */
    private boolean responseBegan;

    /**
     * Creates a receiver of a stream whose head was received.
     *
     * @param stream streamed response to the caller
     * @param progress progress of the stream
     * @param head head of the upstream's response; without a media type it has events
     */
    StreamReceiver(CallerStream stream, StreamProgress progress, HttpResponse head) {
        this.stream = stream;
        this.progress = progress;
        this.hasEvents = hasEvents(head);
    }

    /**
     * Returns whether the body of a successful response to a streaming route has events.
     *
     * @param head head of the response
     * @return true for an event stream, and without a media type
     */
    static boolean hasEvents(HttpResponse head) {
        return HttpUtil.getMimeType(head) == null || isEventStream(head);
    }

    /**
     * Returns why a buffered body is incomplete although it has ended.
     *
     * @param head head of the response
     * @param body body
     * @param end what told the end of the body
     * @return reason, empty if the body is complete or no event stream
     */
    static Optional<String> bufferedDefect(HttpResponse head, byte[] body, BodyEnd end) {
        if (!isEventStream(head)) {
            return Optional.empty();
        }
        VerbatimEventSplitter events = new VerbatimEventSplitter();
        if (events.feed(body).stream().anyMatch(e -> StatusLine.isIn(e.bytes()))) {
            return Optional.of(RESPONSE_INSIDE);
        }
        return StreamEndRule.defect(end, events.isInsideEvent(), events.eventSeen());
    }

    /**
     * Receives part of the body and forwards the events that it completes.
     *
     * @param data bytes
     * @param now present time
     */
    void receive(byte[] data, Instant now) {
        for (VerbatimEventSplitter.Event e : splitter.feed(data)) {
            responseBegan |= hasEvents && StatusLine.isIn(e.bytes());
            if (responseBegan) {
                return;
            }
            progress.eventReceived(e, now);
            stream.forward(e, now);
        }
    }

    /**
     * Returns the length of the incomplete event.
     *
     * @return bytes since the last complete event
     */
    int partialBytes() {
        return splitter.partialBytes();
    }

    /**
     * Returns whether the bytes so far end inside an event.
     *
     * @return true if an event has begun and is incomplete
     */
    boolean isInsideEvent() {
        return hasEvents && splitter.isInsideEvent();
    }

    /**
     * Returns why the stream is incomplete although its body has ended.
     *
     * @param end what told the end of the body
     * @return reason, empty if the stream is complete
     */
    Optional<String> defect(BodyEnd end) {
        if (responseBegan) {
            return Optional.of(RESPONSE_INSIDE);
        }
        return hasEvents
                ? StreamEndRule.defect(end, isInsideEvent(), splitter.eventSeen())
                : Optional.empty();
    }

    /** Forwards the bytes after the last event of a complete stream. */
    void forwardRemainder() {
        stream.forwardRemainder(splitter.takePartial());
    }

    private static boolean isEventStream(HttpResponse head) {
        CharSequence type = HttpUtil.getMimeType(head);
        return type != null && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type);
    }
}
