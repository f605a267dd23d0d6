package org.papayawalk.lab.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.EngineStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Checks on real daemons that a non-idempotent call that crashes each service is refused, although
 * its caller makes it under a new key each time. Two entries and six services use the loopback
 * interface.
 */
public final class PoisonOrderTest {
    private static final String SERVICE = RequestsCluster.SERVICE_FLEET;

    private static final int ROUNDS = 16;

    /** Crashes from which a request is refused, and one before their notice arrives. */
    private static final int MAX_RUNS = 3;

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
        cluster = new RequestsCluster(1, 6, new EngineSettings(1, 1, 8, false), 8, 7);
        caller = new TestCaller();
    }

    /** Stops the daemons and the stand-ins. */
    @AfterClass(alwaysRun = true)
    public void stop() {
        caller.close();
        cluster.close();
    }

    /** New keys do not let the same call crash one service after the other. */
    @Test
    public void refusesCallThatCrashesServicesUnderNewKeys() {
        List<CallResult> bad = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            bad.add(order(i, "bad-" + i, EngineStandIn.POISON));
            CallResult sound = order(i + 1, "sound-" + i, "leaf");
            assertEquals(sound.kind(), CallResult.Kind.ANSWERED, sound.detail());
        }
        int runs =
                (int) cluster.orderRuns().keySet().stream().filter(PoisonOrderTest::isBad).count();
        assertTrue(runs <= MAX_RUNS, "the bad call ran " + runs + " times");
        for (int i = 0; i < ROUNDS; i++) {
            boolean ran = cluster.orderRuns().containsKey("bad-" + i);
            CallResult.Kind expected = ran ? CallResult.Kind.UNKNOWN : CallResult.Kind.NOT_RUN;
            assertEquals(bad.get(i).kind(), expected, bad.get(i).detail());
        }
        CallResult refused = order(0, "bad-0-later", EngineStandIn.POISON);
        assertEquals(refused.kind(), CallResult.Kind.NOT_RUN, refused.detail());
        assertTrue(refused.detail().contains("poison request"), refused.detail());
        assertEquals(order(1, "bad-0-later", EngineStandIn.POISON).kind(), refused.kind());
    }

    /** A crash that ends an answer without a length like a whole one counts too. */
    @Test
    public void refusesCallWhoseUnframedAnswersEndInCrashes() {
        CallResult last = null;
        for (int i = 0; i < ROUNDS; i++) {
            last = order(i, "cut-" + i, EngineStandIn.POISON_PART);
            CallResult sound = order(i + 1, "beside-" + i, "leaf");
            assertEquals(sound.kind(), CallResult.Kind.ANSWERED, sound.detail());
        }
        long runs = cluster.orderRuns().keySet().stream().filter(k -> k.startsWith("cut-")).count();
        assertTrue(runs <= MAX_RUNS, "the bad call ran " + runs + " times");
        assertEquals(last.kind(), CallResult.Kind.NOT_RUN, last.detail());
    }

    private static boolean isBad(String key) {
        return key.startsWith("bad-");
    }

    private CallResult order(int entry, String key, String item) {
        String address = cluster.entries().get(entry % 2).address();
        return caller.placeOrder(address, SERVICE, key, item);
    }
}
