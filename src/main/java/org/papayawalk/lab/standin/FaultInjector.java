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
import org.papayawalk.adapter.Json;

/** Puts faults before a stand-in. {@code POST /lab/faults} sets them while it runs. Thread-safe. */
public final class FaultInjector implements HttpRequestHandler {
    /** Path that sets the faults. */
    private static final String FAULTS_PATH = "/lab/faults";

    /** Time between looks whether a freeze has ended, in milliseconds. */
    private static final long FREEZE_POLL_INTERVAL_MILLIS = 20;

    /** Stand-in. */
    private final HttpRequestHandler delegate;

    /** Source of chance. */
    private final Random random;

    /** Faults switched on. */
    private volatile FaultSettings faults = FaultSettings.NONE;

    /**
     * Creates a switch without faults.
     *
     * @param target stand-in
     * @param seed seed of chance
     */
    public FaultInjector(HttpRequestHandler target, long seed) {
        this.delegate = target;
        this.random = new Random(seed);
    }

    /**
     * Sets the faults.
     *
     * @param newSettings faults
     */
    public void setFaults(FaultSettings newSettings) {
        faults = newSettings;
    }

    /**
     * Returns the faults.
     *
     * @return faults switched on
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
        FaultSettings now = faults;
        if (now.away()) {
            throw new ConnectionClosedException("fault: away");
        }
        waitWhileFrozen();
        sleep(now.slowMillis());
        delegate.handle(request, response, context);
        if (nextBoolean(now.loseAnswerRatio())) {
            throw new ConnectionClosedException("fault: answer lost");
        }
    }

    /**
     * Decides by chance.
     *
     * @param ratio probability, 0 to 1
     * @return true with that probability
     */
    boolean nextBoolean(double ratio) {
        if (ratio <= 0) {
            return false;
        }
        synchronized (random) {
            return random.nextDouble() < ratio;
        }
    }

    /**
     * Waits until the stand-in is not frozen.
     *
     * @throws IOException if the thread is interrupted
     */
    void waitWhileFrozen() throws IOException {
        while (faults.frozen()) {
            sleep(FREEZE_POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Waits.
     *
     * @param millis time in milliseconds
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
            throw new IOException("the stand-in stops", e);
        }
    }
}
