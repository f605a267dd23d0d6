package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.papayawalk.support.Await;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** An agent orders a version as soon as its last chunk is staged, and not after some reports. */
public final class OrderAfterStagingTest {
    private static final long TIMEOUT_MILLIS = 15_000;

    /** Pause between two reports of the engine. */
    private static final long REPORT_INTERVAL_MILLIS = 150;

    private static final int FIRST = 2;

    private static final int LAST = 6;

    private ManagedAgentFixture fixture;

    /**
     * Starts an agent whose engine serves version 1.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedAgentFixture();
        fixture.startAgent();
        Await.within(TIMEOUT_MILLIS, () -> fixture.engine().serving() == 1);
    }

    /** Stops the agent and the fakes. */
    @AfterClass
    public void stop() {
        fixture.close();
    }

    /** The shortest of several times from the last chunk to the order is less than a pause. */
    @Test
    public void orderFollowsTheLastChunk() {
        long shortest = Long.MAX_VALUE;
        for (int version = FIRST; version <= LAST; version++) {
            shortest = Math.min(shortest, nanosToOrder(version));
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(shortest);
        assertTrue(millis < REPORT_INTERVAL_MILLIS, "ordered after " + millis + " ms");
    }

    private long nanosToOrder(int version) {
        FakeEngine engine = fixture.engine();
        int writes = engine.stagedWrites() + FakeEngine.CHUNKS;
        fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":" + version + "}");
        Await.within(TIMEOUT_MILLIS, () -> engine.stagedWrites() >= writes);
        long staged = System.nanoTime();
        Await.within(TIMEOUT_MILLIS, () -> engine.serving() == version);
        return System.nanoTime() - staged;
    }
}
