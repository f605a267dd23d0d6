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
 * Proves "a non-idempotent call runs at most once" and "not run is true" on real daemons: two
 * entries and two agents over loopback, with the table service failing on order.
 */
public final class AtMostOnceCallsTest {
    /** Service under test. */
    private static final String SERVICE = RequestsCluster.SERVICE_FLEET;

    /** Daemons and stand-ins. */
    private RequestsCluster cluster;

    /** Makes calls. */
    private TestCaller caller;

    /**
     * Starts the daemons.
     *
     * @throws IOException if an address cannot be used
     * @throws InterruptedException if the thread is interrupted
     */
    @BeforeClass
    public void start() throws IOException, InterruptedException {
        cluster = new RequestsCluster(1, 2, new EngineSettings(1, 1, 8, false), 8, 3);
        caller = new TestCaller();
    }

    /** Stops the daemons. */
    @AfterClass(alwaysRun = true)
    public void stop() {
        caller.close();
        cluster.close();
    }

    /** A repeat by another entry gets the same answer and does not run again. */
    @Test
    public void repeatGetsKeptAnswer() {
        CallResult first = caller.order(entry(0), SERVICE, "repeat", "leaf");
        CallResult second = caller.order(entry(1), SERVICE, "repeat", "leaf");
        assertEquals(first.kind(), CallResult.Kind.ANSWERED, first.detail());
        assertEquals(second.detail(), first.detail());
        assertEquals(runs("repeat"), 1);
    }

    /** One key cannot stand for two requests. */
    @Test
    public void otherRequestWithSameKeyIsRefused() {
        caller.order(entry(0), SERVICE, "clash", "leaf");
        CallResult other = caller.order(entry(1), SERVICE, "clash", "cake");
        assertTrue(other.detail().startsWith("422"), other.detail());
        assertEquals(runs("clash"), 1);
    }

    /**
     * While the table service is away a call is refused at once, did not run, and can come back.
     */
    @Test
    public void refusesTrulyWhileTableIsAway() {
        cluster.platform().tableFaults().set(new FaultSettings(true, false, 0, 0, 0));
        CallResult refused = caller.order(entry(0), SERVICE, "away", "leaf");
        cluster.platform().tableFaults().set(FaultSettings.NONE);
        assertEquals(refused.kind(), CallResult.Kind.NOT_RUN, refused.detail());
        assertTrue(refused.retryAfterMillis() > 0);
        assertEquals(runs("away"), 0);
        CallResult again = caller.order(entry(1), SERVICE, "away", "leaf");
        assertEquals(again.kind(), CallResult.Kind.ANSWERED, again.detail());
        assertEquals(runs("away"), 1);
    }

    /** A table that takes writes and loses half of its answers does not make a call run twice. */
    @Test
    public void runsOnceWhileAnswersAreLost() {
        cluster.platform().tableFaults().set(new FaultSettings(false, false, 0, 0.5, 0));
        List<CallResult> results = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            results.add(caller.order(entry(i % 2), SERVICE, "lost-" + i, "leaf"));
        }
        cluster.platform().tableFaults().set(FaultSettings.NONE);
        for (int i = 0; i < 12; i++) {
            CallResult.Kind kind = results.get(i).kind();
            int runs = runs("lost-" + i);
            assertTrue(runs <= 1, "lost-" + i + " ran " + runs + " times");
            assertTrue(kind != CallResult.Kind.NOT_RUN || runs == 0, results.get(i).detail());
            assertTrue(kind != CallResult.Kind.ANSWERED || runs == 1, results.get(i).detail());
        }
    }

    /**
     * Eight callers with one key at once, by both entries, make one run and get one answer.
     *
     * @throws Exception if a caller fails
     */
    @Test
    public void callersWithOneKeyMakeOneRun() throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(8);
        List<Future<CallResult>> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String entry = entry(i % 2);
            calls.add(callers.submit(() -> caller.order(entry, SERVICE, "race", "leaf")));
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

    /** The outcome of a call can be looked up, and of one never made. */
    @Test
    public void outcomeCanBeLookedUp() {
        caller.order(entry(0), SERVICE, "look", "leaf");
        assertEquals(caller.outcome(entry(1), "look").kind(), CallResult.Kind.ANSWERED);
        assertEquals(caller.outcome(entry(1), "never").kind(), CallResult.Kind.NOT_RUN);
    }

    /**
     * Returns the address of an entry.
     *
     * @param index number of the entry
     * @return IP number and port
     */
    private String entry(int index) {
        return cluster.entries().get(index).address();
    }

    /**
     * Counts the runs of an order.
     *
     * @param key idempotency key
     * @return runs over all services
     */
    private int runs(String key) {
        return cluster.runs().getOrDefault(key, 0);
    }
}
