package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/**
 * An engine does not answer a write of a chunk and executes it seconds later, when a newer version
 * is staged and that chunk was read back already.
 */
public final class LateWriteTest {
    private static final long TIMEOUT_MILLIS = 30_000;

    /** Time in which an agent without the check begins to verify the newer version. */
    private static final long VERIFICATION_MILLIS = 4_000;

    private static final int LAST = FakeEngine.CHUNKS - 1;

    /**
     * The newer version is loaded without the chunk of the older one.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void writeExecutedAfterTheVerificationIsNotLoaded() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            engine.writes().hold(1);
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
            Await.within(TIMEOUT_MILLIS, () -> engine.writes().held() == 1);
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":3}");
            int staged = engine.stagedWrites();
            Await.within(TIMEOUT_MILLIS, () -> engine.stagedWrites() >= staged + FakeEngine.CHUNKS);
            engine.holdReads(LAST);
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(VERIFICATION_MILLIS);
            Await.within(TIMEOUT_MILLIS, () -> engine.heldReads() > 0 || System.nanoTime() > until);
            engine.writes().release();
            int all = engine.stagedWrites();
            Await.within(TIMEOUT_MILLIS, () -> engine.stagedWrites() > all);
            engine.releaseReads();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 3);
            assertEquals(engine.corruptLoads(), 0);
        }
    }
}
