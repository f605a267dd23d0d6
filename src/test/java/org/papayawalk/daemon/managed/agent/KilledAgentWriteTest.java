package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/**
 * An agent is killed while the engine holds a write of a chunk, and started again. The new process
 * knows nothing of the write, which the engine executes after a newer version was verified.
 */
public final class KilledAgentWriteTest {
    private static final long TIMEOUT_MILLIS = 30_000;

    /** Time in which an agent without the check begins to verify the newer version. */
    private static final long VERIFICATION_MILLIS = 4_000;

    private static final int LAST = FakeEngine.CHUNKS - 1;

    /**
     * The newer version is loaded without the chunk that the killed agent wrote.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void writeOfKilledAgentIsNotLoaded() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            int first = engine.stagedWrites();
            engine.writes().hold(1);
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
            Await.within(
                    TIMEOUT_MILLIS,
                    () -> engine.writes().held() == 1 && engine.stagedWrites() == first + LAST);
            fixture.killAgent();
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 2);
            int second = engine.stagedWrites();
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":3}");
            Await.within(TIMEOUT_MILLIS, () -> engine.stagedWrites() >= second + FakeEngine.CHUNKS);
            engine.holdReads(LAST);
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(VERIFICATION_MILLIS);
            Await.within(TIMEOUT_MILLIS, () -> engine.heldReads() > 0 || System.nanoTime() > until);
            int all = engine.stagedWrites();
            engine.writes().release();
            Await.within(TIMEOUT_MILLIS, () -> engine.stagedWrites() > all);
            engine.releaseReads();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 3);
            assertEquals(engine.corruptLoads(), 0);
        }
    }
}
