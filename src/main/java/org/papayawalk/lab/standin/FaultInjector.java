package org.papayawalk.lab.standin;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.adapter.standalone.Json;

/**
 * Injects faults into the requests to a stand-in. {@code POST /lab/faults} sets them at run time;
 * paths below {@code /lab/} are exempt. Thread-safe.
 */
public final class FaultInjector implements HttpRequestHandler {
    private static final String FAULTS_PATH = "/lab/faults";
    private static final long FREEZE_POLL_INTERVAL_MILLIS = 20;

    private final HttpRequestHandler delegate;

    // Guarded by itself.
    private final Random random;

    private volatile FaultSettings faults = FaultSettings.NONE;

    /**
     * Creates an injector without active faults.
     *
     * @param delegate stand-in that handles the requests
     * @param seed seed of the random generator
     */
    public FaultInjector(HttpRequestHandler delegate, long seed) {
        this.delegate = delegate;
        this.random = new Random(seed);
    }

    /**
     * Replaces the active faults.
     *
     * @param newFaults faults from now on, {@link FaultSettings#NONE} to end all
     */
    public void setFaults(FaultSettings newFaults) {
        faults = newFaults;
    }

    /**
     * Returns the active faults.
     *
     * @return faults, {@link FaultSettings#NONE} at first
     */
    public FaultSettings faults() {
        return faults;
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws HttpException, IOException {
        if (request.getPath().equals(FAULTS_PATH)) {
            faults = Json.read(HttpMessages.readBody(request), FaultSettings.class);
            HttpMessages.writeJson(response, 200, faults);
            return;
        }
        if (request.getPath().startsWith("/lab/")) {
            delegate.handle(request, response, context);
            return;
        }
        FaultSettings active = faults;
        if (active.away()) {
            throw new ConnectionClosedException("injected fault: stand-in is unreachable");
        }
        waitWhileFrozen();
        sleep(active.slowMillis());
        delegate.handle(request, response, context);
        if (nextBoolean(active.loseAnswerRatio())) {
            throw new ConnectionClosedException(
                    "injected fault: response was discarded after the request was handled");
        }
    }

    /**
     * Returns true with a given probability.
     *
     * @param probability 0 to 1
     * @return random value
     */
    boolean nextBoolean(double probability) {
        if (probability <= 0) {
            return false;
        }
        synchronized (random) {
            return random.nextDouble() < probability;
        }
    }

    /**
     * Blocks while the stand-in is frozen.
     *
     * @throws IOException if the thread is interrupted
     */
    void waitWhileFrozen() throws IOException {
        while (faults.frozen()) {
            sleep(FREEZE_POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Blocks for a time.
     *
     * @param millis time in milliseconds; 0 or less returns at once
     * @throws IOException if the thread is interrupted
     */
    static void sleep(long millis) throws IOException {
        if (millis <= 0) {
            return;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(
                    "interrupted during a wait of %d ms in a stand-in".formatted(millis), e);
        }
    }
}
