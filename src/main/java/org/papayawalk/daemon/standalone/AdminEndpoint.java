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

/** Answers {@code /ready}, {@code /live} and {@code /metrics}. Thread-safe. */
final class AdminEndpoint implements HttpRequestHandler {
    /** Status of a daemon that is not ready. */
    private static final int UNAVAILABLE = 503;

    /** Status of an unknown path. */
    private static final int NOT_FOUND = 404;

    /** Tells whether the daemon is ready. */
    private final BooleanSupplier ready;

    /** Metrics of the daemon. */
    private final PrometheusRegistry registry;

    /**
     * Creates the endpoint.
     *
     * @param ready tells whether the daemon is ready
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
            case "/live" -> text(response, 200, "live");
            case "/ready" -> {
                boolean now = ready.getAsBoolean();
                text(response, now ? 200 : UNAVAILABLE, now ? "ready" : "not ready");
            }
            case "/metrics" -> metrics(response);
            default -> text(response, NOT_FOUND, "paths are /live, /ready and /metrics");
        }
    }

    /**
     * Answers with the metrics.
     *
     * @param response response to fill
     * @throws IOException if they cannot be written
     */
    private void metrics(ClassicHttpResponse response) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        writer.write(out, registry.scrape());
        response.setCode(200);
        ContentType type = ContentType.parse(writer.getContentType());
        response.setEntity(new ByteArrayEntity(out.toByteArray(), type));
    }

    /**
     * Answers with a text.
     *
     * @param response response to fill
     * @param status HTTP status
     * @param text text
     */
    private static void text(ClassicHttpResponse response, int status, String text) {
        response.setCode(status);
        response.setEntity(new StringEntity(text + "\n", ContentType.TEXT_PLAIN));
    }
}
