package org.papayawalk.lab.standin;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.core.api.CallerHeaders;

/**
 * Plain service whose {@code POST /orders} counts its runs by idempotency key and never checks it.
 * Thread-safe: one lock around the count.
 */
public final class ServiceStandIn implements HttpRequestHandler {
    /** Status of something that does not exist. */
    private static final int NOT_FOUND = 404;

    /** Time that a call takes in milliseconds. */
    private final long callMillis;

    /** Start time. */
    private final long incarnation = System.currentTimeMillis();

    /** Runs by key. */
    private final Map<String, Integer> runsByKey = new TreeMap<>();

    /** Number of the last order. */
    private int lastOrderNumber;

    /**
     * Creates a service.
     *
     * @param callMillis time that a call takes in milliseconds
     */
    public ServiceStandIn(long callMillis) {
        this.callMillis = callMillis;
    }

    /**
     * Returns the runs by idempotency key.
     *
     * @return a copy
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
            HttpMessages.writeJson(response, 200, Map.of("incarnation", incarnation));
        } else if (path.equals("/lab/counters")) {
            HttpMessages.writeJson(response, 200, Map.of("runs", runsByKey()));
        } else if (path.equals("/orders") && request.getMethod().equals("POST")) {
            int order = recordRun(idempotencyKey(request));
            FaultInjector.sleep(callMillis);
            HttpMessages.writeJson(response, 201, Map.of("order", order, "bytes", body.length));
        } else if (path.equals("/orders")) {
            FaultInjector.sleep(callMillis);
            HttpMessages.writeJson(response, 200, Map.of("orders", runsByKey().size()));
        } else {
            HttpMessages.writeError(response, NOT_FOUND, "path " + path + " does not exist");
        }
    }

    /**
     * Counts a run.
     *
     * @param key idempotency key
     * @return number of the order
     */
    private synchronized int recordRun(String key) {
        runsByKey.merge(key, 1, Integer::sum);
        lastOrderNumber++;
        return lastOrderNumber;
    }

    /**
     * Returns the idempotency key of a request.
     *
     * @param request request
     * @return key, empty if there is none
     */
    private static String idempotencyKey(ClassicHttpRequest request) {
        Header h = request.getFirstHeader(CallerHeaders.IDEMPOTENCY_KEY);
        return h == null ? "" : h.getValue();
    }
}
