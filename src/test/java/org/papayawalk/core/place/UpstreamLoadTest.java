package org.papayawalk.core.place;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Tests the pauses of {@link UpstreamLoad} after failures. */
public final class UpstreamLoadTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Two connection failures in a row pause an upstream. */
    @Test
    public void connectionFailuresInARowPause() {
        UpstreamLoad load = new UpstreamLoad();
        end(load, AttemptResult.UNREACHABLE);
        assertTrue(load.isSelectable(T0));
        end(load, AttemptResult.BROKEN);
        assertFalse(load.isSelectable(T0));
    }

    /** A server error between two connection failures shows that the upstream is reachable. */
    @Test
    public void serverErrorEndsARowOfConnectionFailures() {
        UpstreamLoad load = new UpstreamLoad();
        end(load, AttemptResult.UNREACHABLE);
        end(load, AttemptResult.SERVER_ERROR);
        end(load, AttemptResult.BROKEN);
        assertTrue(load.isSelectable(T0));
    }

    private static void end(UpstreamLoad load, AttemptResult result) {
        load.sent(0);
        load.ended(result, T0);
    }
}
