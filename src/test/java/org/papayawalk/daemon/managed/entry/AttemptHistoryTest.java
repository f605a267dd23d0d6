package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.papayawalk.core.id.UpstreamId;
import org.testng.annotations.Test;

/** Tests which attempts leave the possibility that a request runs. */
public final class AttemptHistoryTest {

    /** A request that all upstreams refused has not run, although it reached them. */
    @Test
    public void refusedRequestHasNotRun() {
        AttemptHistory history = new AttemptHistory();
        history.add(new UpstreamId("a"));
        assertTrue(history.mayRun());
        history.lastEnded(false, true);
        assertFalse(history.mayRun());
        assertEquals(history.reachedCount(), 1);
    }

    /** An attempt that was lost may have run, also after a later one was refused. */
    @Test
    public void lostRequestMayHaveRun() {
        AttemptHistory history = new AttemptHistory();
        history.add(new UpstreamId("a"));
        history.lastEnded(true, true);
        history.add(new UpstreamId("b"));
        history.lastEnded(false, false);
        assertTrue(history.mayRun());
        assertTrue(history.mayHaveRun());
        assertEquals(history.reachedCount(), 1);
    }
}
