package org.papayawalk.daemon.standalone;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.protocol.HttpContext;

/** HTTP endpoint for operators: {@code /ready}, {@code /live} and {@code /metrics}. Thread-safe. */
final class AdminEndpoint implements HttpRequestHandler {
    private static final int STATUS_UNAVAILABLE = 503;

    private static final int STATUS_NOT_FOUND = 404;

    private final BooleanSupplier ready;

    private final PrometheusRegistry registry;

    /**
     * Creates the endpoint.
     *
     * @param ready readiness check, called on a thread of the HTTP server for each {@code /ready}
     * @param registry metrics of the daemon
     */
    AdminEndpoint(BooleanSupplier ready, PrometheusRegistry registry) {
        this.ready = ready;
        this.registry = registry;
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        switch (request.getPath()) {
            case "/live" -> respond(response, 200, "live");
            case "/ready" -> {
                boolean isReady = ready.getAsBoolean();
                respond(
                        response,
                        isReady ? 200 : STATUS_UNAVAILABLE,
                        isReady ? "ready" : "not ready");
            }
            case "/metrics" -> respondWithMetrics(response);
            default ->
                    respond(
                            response,
                            STATUS_NOT_FOUND,
                            "unknown path; this endpoint serves /live, /ready and /metrics");
        }
    }

    private void respondWithMetrics(ClassicHttpResponse response) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        writer.write(out, registry.scrape());
        response.setCode(200);
        ContentType type = ContentType.parse(writer.getContentType());
        response.setEntity(new ByteArrayEntity(out.toByteArray(), type));
    }

    private static void respond(ClassicHttpResponse response, int status, String text) {
        response.setCode(status);
        response.setEntity(new StringEntity(text + "\n", ContentType.TEXT_PLAIN));
    }
}
