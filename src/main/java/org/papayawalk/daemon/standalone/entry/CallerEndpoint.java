package org.papayawalk.daemon.standalone.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.adapter.standalone.IdempotencyTableSchema;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.Outcome;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.daemon.standalone.Node;

/** Callers' HTTP interface, as docs/CALLERS.md describes it. Thread-safe. */
final class CallerEndpoint implements HttpRequestHandler {
    /** Start of the paths that look outcomes up. */
    private static final String OUTCOMES_PATH = "/v1/outcomes/";

    /** Node. */
    private final Node node;

    /** Checks requests. */
    private final RequestParser parser;

    /** What the calls share. */
    private final EntryServices services;

    /** Serves non-idempotent calls. */
    private final AtMostOnceCalls onceCalls;

    /** Counts what happens. */
    private final EntryMetrics metrics;

    /** Requests in progress. */
    private final AtomicInteger inProgress = new AtomicInteger();

    /**
     * Creates the endpoint.
     *
     * @param node node
     * @param parser checks requests
     * @param services what the calls share
     * @param onceCalls serves non-idempotent calls
     * @param metrics counts what happens
     */
    CallerEndpoint(
            Node node,
            RequestParser parser,
            EntryServices services,
            AtMostOnceCalls onceCalls,
            EntryMetrics metrics) {
        this.node = node;
        this.parser = parser;
        this.services = services;
        this.onceCalls = onceCalls;
        this.metrics = metrics;
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return 0 or more
     */
    int inProgress() {
        return inProgress.get();
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        inProgress.incrementAndGet();
        boolean streaming = false;
        try {
            CallerResponse answer = answer(request);
            streaming = answer instanceof CallerResponse.Streaming;
            write(answer, response);
        } catch (RequestRejectedException e) {
            write(new CallerResponse.Failed(e.refusal()), response);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the entry stops", e);
        } finally {
            if (!streaming) {
                inProgress.decrementAndGet();
            }
        }
    }

    /**
     * Serves a request.
     *
     * @param request request
     * @return answer
     * @throws RequestRejectedException if the request is wrong
     * @throws IOException if the caller has gone
     * @throws InterruptedException if the thread is interrupted
     */
    private CallerResponse answer(ClassicHttpRequest request)
            throws RequestRejectedException, IOException, InterruptedException {
        String path = request.getPath();
        if (path.startsWith(OUTCOMES_PATH)) {
            String key = path.substring(OUTCOMES_PATH.length());
            return onceCalls.outcome(
                    IdempotencyTableSchema.rowKey(RequestParser.team(request).value(), key));
        }
        ParsedRequest call = parser.parse(request, node.configuration(), node.clock().instant());
        return call.idempotencyKey().isEmpty()
                ? new ProxiedCall(services, call).start()
                : onceCalls.serve(call);
    }

    /**
     * Puts an answer into the library's response.
     *
     * @param answer answer
     * @param response response to fill
     */
    private void write(CallerResponse answer, ClassicHttpResponse response) {
        if (answer instanceof CallerResponse.Complete whole) {
            metrics.outcome(Outcome.ANSWERED);
            response.setCode(whole.status());
            response.setHeader(CallerHeaders.OUTCOME, Outcome.ANSWERED.label());
            ContentType type = headers(whole.headers(), response);
            response.setEntity(new ByteArrayEntity(whole.body(), type));
        } else if (answer instanceof CallerResponse.Streaming streaming) {
            response.setCode(streaming.status());
            ContentType type = headers(streaming.headers(), response);
            response.setEntity(streamEntity(streaming.call(), type));
        } else if (answer instanceof CallerResponse.Failed refused) {
            ErrorResponse refusal = refused.refusal();
            metrics.outcome(refusal.outcome());
            response.setCode(refusal.status());
            response.setHeader(CallerHeaders.OUTCOME, refusal.outcome().label());
            retryAfter(refusal.retryAfter(), response);
            response.setEntity(
                    new ByteArrayEntity(
                            Json.write(errorBody(refusal)), ContentType.APPLICATION_JSON));
        }
    }

    /**
     * Builds the body of a streamed answer.
     *
     * @param call call to take the events from
     * @param type media type
     * @return body that is produced while it is sent
     */
    private HttpEntity streamEntity(ProxiedCall call, ContentType type) {
        return new EntityTemplate(-1, type, null, out -> deliver(call, out));
    }

    /**
     * Delivers a streamed answer.
     *
     * @param call call to take the events from
     * @param out connection to the caller
     * @throws IOException if the caller has gone or the stream cannot be completed
     */
    private void deliver(ProxiedCall call, OutputStream out) throws IOException {
        StreamWriter writer = new StreamWriter(out);
        try {
            call.stream(writer);
            metrics.outcome(Outcome.ANSWERED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            writer.fail(
                    ErrorResponse.unknown(
                            ErrorResponse.BAD_GATEWAY, "the entry stops", Duration.ZERO));
        } finally {
            call.abandon();
            inProgress.decrementAndGet();
        }
    }

    /**
     * Sets headers.
     *
     * @param headers headers of the answer
     * @param response response to fill
     * @return media type of the body
     */
    private static ContentType headers(Iterable<HttpHeader> headers, ClassicHttpResponse response) {
        ContentType type = ContentType.APPLICATION_OCTET_STREAM;
        for (HttpHeader h : headers) {
            if (h.name().equalsIgnoreCase(HttpHeaders.CONTENT_TYPE)) {
                type = ContentType.parse(h.value());
            } else {
                response.setHeader(h.name(), h.value());
            }
        }
        return type;
    }

    /**
     * Sets the headers that tell when to come back.
     *
     * @param pause time, zero for none
     * @param response response to fill
     */
    private static void retryAfter(Duration pause, ClassicHttpResponse response) {
        if (pause.isZero()) {
            return;
        }
        long seconds = (pause.toMillis() + 999) / 1000;
        response.setHeader(CallerHeaders.RETRY_AFTER, Long.toString(seconds));
        response.setHeader(CallerHeaders.RETRY_AFTER_MILLIS, Long.toString(pause.toMillis()));
    }

    /**
     * Builds the body of a refusal.
     *
     * @param refusal refusal
     * @return body in the shape that model engines' clients expect
     */
    private static Map<String, Object> errorBody(ErrorResponse refusal) {
        Map<String, Object> error = new TreeMap<>();
        error.put("type", refusal.outcome().label());
        error.put("message", refusal.reason());
        error.put("code", refusal.status());
        error.put("retry_after_ms", refusal.retryAfter().toMillis());
        return Map.of("error", error);
    }

    /** Writes events to a caller. Confined to the caller's thread. */
    private final class StreamWriter implements EventWriter {
        /** Connection to the caller. */
        private final OutputStream out;

        /**
         * Creates a writer.
         *
         * @param out connection to the caller
         */
        private StreamWriter(OutputStream out) {
            this.out = out;
        }

        @Override
        public void event(byte[] event) throws IOException {
            out.write(event);
            out.flush();
        }

        @Override
        public void fail(ErrorResponse refusal) throws IOException {
            metrics.outcome(Outcome.UNKNOWN);
            String json = new String(Json.write(errorBody(refusal)), StandardCharsets.UTF_8);
            event(("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
            throw new IOException("the stream cannot be completed: " + refusal.reason());
        }
    }
}
