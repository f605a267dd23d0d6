package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/**
 * An agent starts before the engine beside it, as after a start of all hosts. What lies staged at
 * the engine can be read only once that answers; an agent that does not wait for it fetches all of
 * it from the origin again.
 */
public final class EngineStartTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Calls that the engine leaves unanswered before it starts. */
    private static final int CALLS_BEFORE_START = 3;

    /**
     * The engine loads what was staged, and nothing is fetched from the origin.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void stagedVersionIsLoadedWithoutTheOrigin() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            engine.stage(1);
            engine.setAvailable(false);
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.unanswered() >= CALLS_BEFORE_START);
            engine.setAvailable(true);
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            assertEquals(engine.chunksSent(), 0);
            assertEquals(engine.corruptLoads(), 0);
        }
    }
}
