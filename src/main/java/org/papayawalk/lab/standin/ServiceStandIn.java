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
    private final Map<String, Integer> runs = new TreeMap<>();

    /** Number of the last order. */
    private int lastOrder;

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
    public synchronized Map<String, Integer> runs() {
        return new TreeMap<>(runs);
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String path = HttpMessages.path(request);
        byte[] body = HttpMessages.read(request);
        if (path.equals("/v1/health")) {
            HttpMessages.json(response, 200, Map.of("incarnation", incarnation));
        } else if (path.equals("/lab/counters")) {
            HttpMessages.json(response, 200, Map.of("runs", runs()));
        } else if (path.equals("/orders") && request.getMethod().equals("POST")) {
            int order = run(key(request));
            FaultInjector.pause(callMillis);
            HttpMessages.json(response, 201, Map.of("order", order, "bytes", body.length));
        } else if (path.equals("/orders")) {
            FaultInjector.pause(callMillis);
            HttpMessages.json(response, 200, Map.of("orders", runs().size()));
        } else {
            HttpMessages.error(response, NOT_FOUND, "path " + path + " does not exist");
        }
    }

    /**
     * Counts a run.
     *
     * @param key idempotency key
     * @return number of the order
     */
    private synchronized int run(String key) {
        runs.merge(key, 1, Integer::sum);
        lastOrder++;
        return lastOrder;
    }

    /**
     * Returns the idempotency key of a request.
     *
     * @param request request
     * @return key, empty if there is none
     */
    private static String key(ClassicHttpRequest request) {
        Header h = request.getFirstHeader(CallerHeaders.IDEMPOTENCY_KEY);
        return h == null ? "" : h.getValue();
    }
}
