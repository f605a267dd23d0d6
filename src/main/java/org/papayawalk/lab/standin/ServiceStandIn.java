package org.papayawalk.lab.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.core.api.CallerHeaders;

/**
 * Service with one non-idempotent call: {@code POST /orders} runs every time and counts its runs by
 * idempotency key, so that duplicate runs can be detected. An order with the word {@value
 * EngineStandIn#POISON} crashes the service while it runs, one with the word {@value
 * EngineStandIn#POISON_PART} in the middle of an answer with neither a length nor chunks.
 * Thread-safe: one lock around the counts and the incarnation.
 */
public final class ServiceStandIn implements HttpRequestHandler {
    private static final int CREATED = 201;

    private static final int NOT_FOUND = 404;

    private final long callMillis;

    // Start time in milliseconds since the epoch; every crash increases it.
    private long incarnation = System.currentTimeMillis();

    private final Map<String, Integer> runsByKey = new TreeMap<>();
    private int lastOrderNumber;

    /**
     * Creates a service.
     *
     * @param callMillis duration of a call in milliseconds
     */
    public ServiceStandIn(long callMillis) {
        this.callMillis = callMillis;
    }

    /**
     * Returns the number of runs of each order.
     *
     * @return copy of the counts by idempotency key; the empty key counts calls without one
     */
    public synchronized Map<String, Integer> runsByKey() {
        return new TreeMap<>(runsByKey);
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String path = HttpMessages.path(request);
        byte[] body = HttpMessages.readBody(request);
        if (path.equals("/v1/health")) {
            HttpMessages.writeJson(response, 200, Map.of("incarnation", incarnation()));
        } else if (path.equals("/lab/counters")) {
            HttpMessages.writeJson(response, 200, Map.of("runs", runsByKey()));
        } else if (path.equals("/orders") && request.getMethod().equals("POST")) {
            int orderNumber = recordRun(idempotencyKey(request));
            String text = new String(body, StandardCharsets.UTF_8);
            if (text.contains(EngineStandIn.POISON_PART)) {
                crashWhileAnswering(response, context);
                return;
            }
            if (text.contains(EngineStandIn.POISON)) {
                crash();
                throw new ConnectionClosedException("service crashed by a poison request");
            }
            FaultInjector.sleep(callMillis);
            HttpMessages.writeJson(
                    response, CREATED, Map.of("order", orderNumber, "bytes", body.length));
        } else if (path.equals("/orders")) {
            FaultInjector.sleep(callMillis);
            HttpMessages.writeJson(response, 200, Map.of("orders", runsByKey().size()));
        } else {
            HttpMessages.writeError(
                    response, NOT_FOUND, "path \"%s\" does not exist".formatted(path));
        }
    }

    // The end of the process closes the connection, which ends the answer in order.
    private void crashWhileAnswering(ClassicHttpResponse response, HttpContext context) {
        context.setProtocolVersion(HttpVersion.HTTP_1_0);
        response.setCode(CREATED);
        response.setEntity(
                new EntityTemplate(
                        -1,
                        ContentType.APPLICATION_JSON,
                        null,
                        out -> {
                            out.write("{\"order\":".getBytes(StandardCharsets.UTF_8));
                            out.flush();
                            crash();
                        }));
    }

    private synchronized long incarnation() {
        return incarnation;
    }

    private synchronized void crash() {
        incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
    }

    // Returns the number of the new order.
    private synchronized int recordRun(String key) {
        runsByKey.merge(key, 1, Integer::sum);
        lastOrderNumber++;
        return lastOrderNumber;
    }

    private static String idempotencyKey(ClassicHttpRequest request) {
        Header h = request.getFirstHeader(CallerHeaders.IDEMPOTENCY_KEY);
        return h == null ? "" : h.getValue();
    }
}
