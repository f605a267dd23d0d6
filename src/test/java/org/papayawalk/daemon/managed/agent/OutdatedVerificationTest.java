package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/**
 * What is staged changes after its first chunks were verified. An order based on that verification
 * would load chunks that nobody has seen.
 */
public final class OutdatedVerificationTest {
    private static final long TIMEOUT_MILLIS = 30_000;

    /** Chunk that is verified last. */
    private static final int LAST = FakeEngine.CHUNKS - 1;

    /**
     * Reads after whose timeouts, of 1.5 s each, the verification is older than the 3 s for which a
     * chunk that turned bad is excused.
     */
    private static final int SLOW_READS = 3;

    /**
     * A restarted engine without staged chunks has accepted as many orders as before, none, so that
     * it would accept an order decided before the restart.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void engineRestartedDuringTheVerificationLoadsAWholeVersion() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            engine.holdReads(LAST);
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.heldReads() == 1);
            engine.restartWithoutStagedChunks();
            engine.releaseReads();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            assertEquals(engine.corruptLoads(), 0);
        }
    }

    /**
     * A chunk turns bad after it was read, and the verification goes on for seconds.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void chunkThatTurnedBadDuringASlowVerificationIsNotLoaded() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            engine.holdReads(LAST);
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.heldReads() == 1);
            engine.corruptStaged(0);
            Await.within(TIMEOUT_MILLIS, () -> engine.heldReads() == SLOW_READS);
            engine.releaseReads();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            assertEquals(engine.corruptLoads(), 0);
        }
    }
}
