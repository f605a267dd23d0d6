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
    private static final String PATH = "/lab/faults";

    /** Time between looks whether a freeze has ended, in milliseconds. */
    private static final long FREEZE_LOOK_MILLIS = 20;

    /** Stand-in. */
    private final HttpRequestHandler target;

    /** Source of chance. */
    private final Random random;

    /** Faults switched on. */
    private volatile FaultSettings settings = FaultSettings.NONE;

    /**
     * Creates a switch without faults.
     *
     * @param target stand-in
     * @param seed seed of chance
     */
    public FaultInjector(HttpRequestHandler target, long seed) {
        this.target = target;
        this.random = new Random(seed);
    }

    /**
     * Sets the faults.
     *
     * @param newSettings faults
     */
    public void set(FaultSettings newSettings) {
        settings = newSettings;
    }

    /**
     * Returns the faults.
     *
     * @return faults switched on
     */
    public FaultSettings get() {
        return settings;
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws HttpException, IOException {
        if (request.getPath().equals(PATH)) {
            settings = Json.read(HttpMessages.read(request), FaultSettings.class);
            HttpMessages.json(response, 200, settings);
            return;
        }
        if (request.getPath().startsWith("/lab/")) {
            target.handle(request, response, context);
            return;
        }
        FaultSettings now = settings;
        if (now.away()) {
            throw new ConnectionClosedException("fault: away");
        }
        waitWhileFrozen();
        pause(now.slowMillis());
        target.handle(request, response, context);
        if (chance(now.loseAnswerRatio())) {
            throw new ConnectionClosedException("fault: answer lost");
        }
    }

    /**
     * Decides by chance.
     *
     * @param ratio probability, 0 to 1
     * @return true with that probability
     */
    boolean chance(double ratio) {
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
        while (settings.frozen()) {
            pause(FREEZE_LOOK_MILLIS);
        }
    }

    /**
     * Waits.
     *
     * @param millis time in milliseconds
     * @throws IOException if the thread is interrupted
     */
    static void pause(long millis) throws IOException {
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
