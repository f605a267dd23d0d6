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

/** HTTP interface for callers, as described in docs/CALLERS.md. Thread-safe. */
final class CallerEndpoint implements HttpRequestHandler {
    private static final String OUTCOMES_PATH = "/v1/outcomes/";

    private final Node node;
    private final RequestParser parser;
    private final EntryServices services;
    private final AtMostOnceCalls atMostOnceCalls;
    private final EntryMetrics metrics;
    private final AtomicInteger inProgress = new AtomicInteger();

    /**
     * Creates the endpoint.
     *
     * @param node node that holds the configuration
     * @param parser parser of requests
     * @param services collaborators shared by all calls
     * @param atMostOnceCalls service for non-idempotent calls
     * @param metrics metrics of requests
     */
    CallerEndpoint(
            Node node,
            RequestParser parser,
            EntryServices services,
            AtMostOnceCalls atMostOnceCalls,
            EntryMetrics metrics) {
        this.node = node;
        this.parser = parser;
        this.services = services;
        this.atMostOnceCalls = atMostOnceCalls;
        this.metrics = metrics;
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return number, including streams that are not finished
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
            CallerResponse result = serve(request);
            streaming = result instanceof CallerResponse.Streaming;
            write(result, response);
        } catch (RequestRejectedException e) {
            write(new CallerResponse.Failed(e.response()), response);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("entry is shutting down", e);
        } finally {
            if (!streaming) {
                inProgress.decrementAndGet();
            }
        }
    }

    private CallerResponse serve(ClassicHttpRequest request)
            throws RequestRejectedException, IOException, InterruptedException {
        String path = request.getPath();
        if (path.startsWith(OUTCOMES_PATH)) {
            String key = path.substring(OUTCOMES_PATH.length());
            return atMostOnceCalls.lookUpOutcome(
                    IdempotencyTableSchema.rowKey(RequestParser.team(request).value(), key));
        }
        ParsedRequest call = parser.parse(request, node.configuration(), node.clock().instant());
        return call.idempotencyKey().isEmpty()
                ? new ProxiedCall(services, call).start()
                : atMostOnceCalls.serve(call);
    }

    private void write(CallerResponse result, ClassicHttpResponse response) {
        if (result instanceof CallerResponse.Complete complete) {
            metrics.countOutcome(Outcome.ANSWERED);
            response.setCode(complete.status());
            response.setHeader(CallerHeaders.OUTCOME, Outcome.ANSWERED.label());
            ContentType type = setHeaders(complete.headers(), response);
            response.setEntity(new ByteArrayEntity(complete.body(), type));
        } else if (result instanceof CallerResponse.Streaming streaming) {
            response.setCode(streaming.status());
            ContentType type = setHeaders(streaming.headers(), response);
            response.setEntity(streamingEntity(streaming.call(), type));
        } else if (result instanceof CallerResponse.Failed failed) {
            ErrorResponse error = failed.error();
            metrics.countOutcome(error.outcome());
            response.setCode(error.status());
            response.setHeader(CallerHeaders.OUTCOME, error.outcome().label());
            setRetryAfter(error.retryAfter(), response);
            response.setEntity(
                    new ByteArrayEntity(
                            Json.write(errorBody(error)), ContentType.APPLICATION_JSON));
        }
    }

    private HttpEntity streamingEntity(ProxiedCall call, ContentType type) {
        return new EntityTemplate(-1, type, null, out -> streamTo(call, out));
    }

    private void streamTo(ProxiedCall call, OutputStream out) throws IOException {
        StreamWriter writer = new StreamWriter(out);
        try {
            call.stream(writer);
            metrics.countOutcome(Outcome.ANSWERED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            writer.fail(
                    ErrorResponse.unknownOutcome(
                            ErrorResponse.BAD_GATEWAY, "entry is shutting down", Duration.ZERO));
        } finally {
            call.abandon();
            inProgress.decrementAndGet();
        }
    }

    // Returns the media type, which the library takes as a property of the entity.
    private static ContentType setHeaders(
            Iterable<HttpHeader> headers, ClassicHttpResponse response) {
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

    private static void setRetryAfter(Duration delay, ClassicHttpResponse response) {
        if (delay.isZero()) {
            return;
        }
        long seconds = (delay.toMillis() + 999) / 1000;
        response.setHeader(CallerHeaders.RETRY_AFTER, Long.toString(seconds));
        response.setHeader(CallerHeaders.RETRY_AFTER_MILLIS, Long.toString(delay.toMillis()));
    }

    // The body has the shape that clients of model engines expect.
    private static Map<String, Object> errorBody(ErrorResponse error) {
        Map<String, Object> fields = new TreeMap<>();
        fields.put("type", error.outcome().label());
        fields.put("message", error.reason());
        fields.put("code", error.status());
        fields.put("retry_after_ms", error.retryAfter().toMillis());
        return Map.of("error", fields);
    }

    private final class StreamWriter implements EventWriter {
        private final OutputStream out;

        private StreamWriter(OutputStream out) {
            this.out = out;
        }

        @Override
        public void writeEvent(byte[] event) throws IOException {
            out.write(event);
            out.flush();
        }

        @Override
        public void fail(ErrorResponse error) throws IOException {
            metrics.countOutcome(Outcome.UNKNOWN);
            String json = new String(Json.write(errorBody(error)), StandardCharsets.UTF_8);
            writeEvent(("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
            throw new IOException("response stream aborted: " + error.reason());
        }
    }
}
