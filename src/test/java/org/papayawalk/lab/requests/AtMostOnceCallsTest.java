package org.papayawalk.lab.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.FaultSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Checks on real daemons that a non-idempotent call runs at most once, and that a call reported as
 * not run did not run. Two entries and two agents use the loopback interface and a table service
 * with injected faults.
 */
public final class AtMostOnceCallsTest {
    private static final String SERVICE = RequestsCluster.SERVICE_FLEET;

    private RequestsCluster cluster;
    private TestCaller caller;

    /**
     * Starts the daemons and the stand-ins.
     *
     * @throws IOException if a server cannot listen on its address
     * @throws InterruptedException if the thread is interrupted
     */
    @BeforeClass
    public void start() throws IOException, InterruptedException {
        cluster = new RequestsCluster(1, 2, new EngineSettings(1, 1, 8, false), 8, 3);
        caller = new TestCaller();
    }

    /** Stops the daemons and the stand-ins. */
    @AfterClass(alwaysRun = true)
    public void stop() {
        caller.close();
        cluster.close();
    }

    /** A retry through another entry gets the stored response and does not run again. */
    @Test
    public void retryReplaysStoredResponse() {
        CallResult first = caller.placeOrder(entry(0), SERVICE, "repeat", "leaf");
        CallResult second = caller.placeOrder(entry(1), SERVICE, "repeat", "leaf");
        assertEquals(first.kind(), CallResult.Kind.ANSWERED, first.detail());
        assertEquals(second.detail(), first.detail());
        assertEquals(runs("repeat"), 1);
    }

    /** A key that was used for one request is rejected with 422 for a different one. */
    @Test
    public void rejectsDifferentRequestWithSameKey() {
        caller.placeOrder(entry(0), SERVICE, "clash", "leaf");
        CallResult other = caller.placeOrder(entry(1), SERVICE, "clash", "cake");
        assertTrue(other.detail().startsWith("422"), other.detail());
        assertEquals(runs("clash"), 1);
    }

    /**
     * A call during an outage of the table service is refused as not run, with a retry delay, and
     * runs when it is retried after the outage.
     */
    @Test
    public void reportsNotRunWhileTableIsUnavailable() {
        cluster.platform().tableFaults().setFaults(new FaultSettings(true, false, 0, 0, 0));
        CallResult refused = caller.placeOrder(entry(0), SERVICE, "away", "leaf");
        cluster.platform().tableFaults().setFaults(FaultSettings.NONE);
        assertEquals(refused.kind(), CallResult.Kind.NOT_RUN, refused.detail());
        assertTrue(refused.retryAfterMillis() > 0);
        assertEquals(runs("away"), 0);
        CallResult retried = caller.placeOrder(entry(1), SERVICE, "away", "leaf");
        assertEquals(retried.kind(), CallResult.Kind.ANSWERED, retried.detail());
        assertEquals(runs("away"), 1);
    }

    /**
     * A table service that applies writes but loses half of its responses does not make a call run
     * twice.
     */
    @Test
    public void runsOnceWhileTableResponsesAreLost() {
        cluster.platform().tableFaults().setFaults(new FaultSettings(false, false, 0, 0.5, 0));
        List<CallResult> results = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            results.add(caller.placeOrder(entry(i % 2), SERVICE, "lost-" + i, "leaf"));
        }
        cluster.platform().tableFaults().setFaults(FaultSettings.NONE);
        for (int i = 0; i < 12; i++) {
            CallResult.Kind kind = results.get(i).kind();
            int runs = runs("lost-" + i);
            assertTrue(runs <= 1, "lost-" + i + " ran " + runs + " times");
            assertTrue(kind != CallResult.Kind.NOT_RUN || runs == 0, results.get(i).detail());
            assertTrue(kind != CallResult.Kind.ANSWERED || runs == 1, results.get(i).detail());
        }
    }

    /**
     * Eight concurrent callers with the same key at two entries cause one run and get the same
     * response.
     *
     * @throws Exception if a caller fails
     */
    @Test
    public void concurrentCallersWithSameKeyRunOnce() throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(8);
        List<Future<CallResult>> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String entry = entry(i % 2);
            calls.add(callers.submit(() -> caller.placeOrder(entry, SERVICE, "race", "leaf")));
        }
        List<String> answers = new ArrayList<>();
        for (Future<CallResult> c : calls) {
            assertEquals(c.get().kind(), CallResult.Kind.ANSWERED, c.get().detail());
            answers.add(c.get().detail());
        }
        callers.shutdown();
        assertEquals(answers.stream().distinct().count(), 1);
        assertEquals(runs("race"), 1);
    }

    /** The outcome can be looked up for a finished call and for a call that was never made. */
    @Test
    public void outcomeCanBeLookedUp() {
        caller.placeOrder(entry(0), SERVICE, "look", "leaf");
        assertEquals(caller.lookUpOutcome(entry(1), "look").kind(), CallResult.Kind.ANSWERED);
        assertEquals(caller.lookUpOutcome(entry(1), "never").kind(), CallResult.Kind.NOT_RUN);
    }

    private String entry(int index) {
        return cluster.entries().get(index).address();
    }

    private int runs(String key) {
        return cluster.orderRuns().getOrDefault(key, 0);
    }
}
