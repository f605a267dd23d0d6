package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.desired.RequestKind;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.stream.BodyEnd;
import org.papayawalk.core.stream.StreamEndRule;
import org.papayawalk.core.stream.VerbatimEventSplitter;
import org.papayawalk.platform.HeaderCodec;

/**
 * Receives the stream of one upstream and forwards each event once it is complete. Confined to the
 * event loop thread.
 */
final class StreamReceiver {
    private static final String HEAD_IN_EVENT = "another response begins inside an event";

    private final VerbatimEventSplitter splitter = new VerbatimEventSplitter();

    private final CallerStream stream;

    private final StreamProgress progress;

    /**
     * Creates a receiver of a stream whose head was received.
     *
     * @param stream streamed response to the caller
     * @param progress progress of the stream
     */
    StreamReceiver(CallerStream stream, StreamProgress progress) {
        this.stream = stream;
        this.progress = progress;
    }

    /**
     * Returns whether the body of a response can be forwarded event by event.
     *
     * @param route route of the request
     * @param head head of the response
     * @param metadata metadata in the head
     * @param stream streamed response to the caller
     * @return false for a route without streams, for a body without events, and for one that
     *     doesn't continue what the caller has
     */
    static boolean accepts(
            RouteRule route, HttpResponse head, ResponseMetadata metadata, CallerStream stream) {
        return route.kind() == RequestKind.STREAMING
                && head.status().code() == HttpResponseStatus.OK.code()
                && metadata.hasAuthenticationCode()
                && hasEvents(head)
                && stream.accepts(head);
    }

    /**
     * Returns why a buffered response is no answer although its body has ended.
     *
     * @param head head of the response
     * @param body body
     * @param end what told the end of the body
     * @return reason; empty if the body is complete or no event stream, and the upstream vouches
     *     for what callers take as final
     */
    static Optional<String> bufferedDefect(HttpResponse head, byte[] body, BodyEnd end) {
        boolean serverError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (!serverError && !HeaderCodec.responseMetadata(head.headers()).hasAuthenticationCode()) {
            return Optional.of(
                    "answer with status " + head.status().code() + " carries no stamp of a server");
        }
        if (!isEventStream(head) || !hasEvents(head)) {
            return Optional.empty();
        }
        VerbatimEventSplitter events = new VerbatimEventSplitter();
        if (events.feed(body).stream().anyMatch(e -> HeadInEvent.isIn(e.bytes()))) {
            return Optional.of(HEAD_IN_EVENT);
        }
        return StreamEndRule.defect(end, events.isInsideEvent(), events.eventSeen());
    }

    /**
     * Receives part of the body and forwards the events that it completes, up to one that can't
     * belong to the caller's stream.
     *
     * @param data bytes
     * @param now present time
     * @return why the stream can't go on, empty if it can
     */
    Optional<String> receive(byte[] data, Instant now) {
        for (VerbatimEventSplitter.Event e : splitter.feed(data)) {
            if (HeadInEvent.isIn(e.bytes())) {
                return Optional.of(HEAD_IN_EVENT);
            }
            progress.eventReceived(e, now);
            if (!stream.forward(e, now)) {
                return Optional.of("resumed stream has an event without an id");
            }
        }
        return partialBytes() > StreamProgress.MAX_EVENT_BYTES
                ? Optional.of("event is longer than " + StreamProgress.MAX_EVENT_BYTES + " bytes")
                : Optional.empty();
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
        return splitter.isInsideEvent();
    }

    /**
     * Returns why the stream is incomplete although its body has ended.
     *
     * @param end what told the end of the body
     * @return reason, empty if the stream is complete
     */
    Optional<String> defect(BodyEnd end) {
        return StreamEndRule.defect(end, isInsideEvent(), splitter.eventSeen());
    }

    /** Forwards the bytes after the last event of a complete stream. */
    void forwardRemainder() {
        stream.forwardRemainder(splitter.takePartial());
    }

    // A body without a media type has events; an encoded one can't be split into them.
    private static boolean hasEvents(HttpResponse head) {
        boolean encoded = head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        return !encoded && (HttpUtil.getMimeType(head) == null || isEventStream(head));
    }

    private static boolean isEventStream(HttpResponse head) {
        CharSequence type = HttpUtil.getMimeType(head);
        return type != null && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type);
    }
}
