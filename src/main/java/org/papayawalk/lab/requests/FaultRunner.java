package org.papayawalk.lab.requests;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.papayawalk.lab.cluster.LabAgent;
import org.papayawalk.lab.cluster.LabEntry;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.FaultSettings;

/** Causes the faults of an experiment one after the other. Runs on one thread of its own. */
final class FaultRunner implements Runnable {
    /** Time between faults, in milliseconds. */
    private static final long PAUSE_MILLIS = 700;

    /** Time that a fault lasts, in milliseconds. */
    private static final long FAULT_MILLIS = 1500;

    /** Longest wait for a drained agent, in milliseconds. */
    private static final long DRAIN_MILLIS = 6000;

    /** Time between looks at a drained agent, in milliseconds. */
    private static final long LOOK_MILLIS = 10;

    /** Times that the caller of a crashing request sends it. */
    private static final int POISON_ATTEMPTS = 5;

    /** Daemons and stand-ins. */
    private final RequestsCluster cluster;

    /** Faults to cause. */
    private final List<String> faults;

    /** Makes calls. */
    private final TestCaller caller;

    /** Source of chance. */
    private final Random random;

    /** Whether to go on. */
    private volatile boolean going = true;

    /** Longest time from a notice of leaving to the last new work, in seconds. */
    private volatile double newWorkAfterDrainSeconds;

    /** Requests that ran when a planned stop ended. */
    private volatile int interrupted;

    /** Most upstreams that one request crashed. */
    private volatile int crashedByOne;

    /** Faults caused. */
    private volatile int caused;

    /**
     * Creates the faults.
     *
     * @param cluster daemons and stand-ins
     * @param faults names of the faults
     * @param caller makes calls
     * @param seed seed of chance
     */
    FaultRunner(RequestsCluster cluster, List<String> faults, TestCaller caller, long seed) {
        this.cluster = cluster;
        this.faults = faults;
        this.caller = caller;
        this.random = new Random(seed);
    }

    @Override
    public void run() {
        int next = 0;
        try {
            while (going && !faults.isEmpty()) {
                pause(PAUSE_MILLIS);
                String fault = faults.get(next % faults.size());
                next++;
                System.err.println("requests: fault " + fault);
                cause(fault);
                caused++;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new IllegalStateException("a daemon cannot be restarted", e);
        }
    }

    /** Ends after the present fault. */
    void stop() {
        going = false;
    }

    /**
     * Returns the longest time from a notice of leaving to the last new work.
     *
     * @return seconds
     */
    double newWorkAfterDrainSeconds() {
        return newWorkAfterDrainSeconds;
    }

    /**
     * Returns the requests that ran when a planned stop ended.
     *
     * @return 0 or more
     */
    int interrupted() {
        return interrupted;
    }

    /**
     * Returns the most upstreams that one request crashed.
     *
     * @return 0 or more
     */
    int crashedByOne() {
        return crashedByOne;
    }

    /**
     * Returns the number of faults caused.
     *
     * @return 0 or more
     */
    int caused() {
        return caused;
    }

    /**
     * Causes a fault and undoes it.
     *
     * @param fault name of the fault
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if a daemon cannot be restarted
     */
    private void cause(String fault) throws InterruptedException, IOException {
        switch (fault) {
            case "kill-agent" -> restart(pick(cluster.models()));
            case "kill-service-agent" -> restart(pick(cluster.services()));
            case "kill-entry" -> {
                LabEntry entry = pick(cluster.entries());
                entry.kill();
                pause(FAULT_MILLIS);
                entry.start();
            }
            case "lose-answer" -> table(new FaultSettings(false, false, 0, 0.2, 0));
            case "table-away" -> table(new FaultSettings(true, false, 0, 0, 0));
            case "table-slow" -> table(new FaultSettings(false, false, 300, 0, 0));
            case "freeze-upstream" -> {
                LabAgent agent = pick(cluster.models());
                agent.faults().set(new FaultSettings(false, true, 0, 0, 0));
                pause(FAULT_MILLIS);
                agent.faults().set(FaultSettings.NONE);
            }
            case "poison" -> poison();
            case "drain" -> drain(pick(cluster.models()));
            default -> throw new IllegalArgumentException("fault \"" + fault + "\" is unknown");
        }
    }

    /**
     * Kills an agent and starts it again, empty.
     *
     * @param agent agent
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if it cannot be restarted
     */
    private static void restart(LabAgent agent) throws InterruptedException, IOException {
        agent.kill();
        pause(FAULT_MILLIS);
        agent.start();
    }

    /**
     * Sets faults of the table service for a while.
     *
     * @param settings faults
     * @throws InterruptedException if the thread is interrupted
     */
    private void table(FaultSettings settings) throws InterruptedException {
        cluster.platform().tableFaults().set(settings);
        pause(FAULT_MILLIS);
        cluster.platform().tableFaults().set(FaultSettings.NONE);
    }

    /**
     * Sends a request that crashes engines, again and again as its caller would.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    private void poison() throws InterruptedException {
        int before = crashes();
        String content = EngineStandIn.POISON + " " + random.nextInt();
        for (int i = 0; i < POISON_ATTEMPTS; i++) {
            LabEntry entry = cluster.entries().get(i % cluster.entries().size());
            caller.stream(
                    entry.address(),
                    RequestsCluster.MODEL_FLEET,
                    cluster.version(),
                    "small",
                    content,
                    4,
                    System.nanoTime());
            pause(100);
        }
        crashedByOne = Math.max(crashedByOne, crashes() - before);
    }

    /**
     * Stops an agent as planned, watching for new work, and starts it again.
     *
     * @param agent agent
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if it cannot be restarted
     */
    private void drain(LabAgent agent) throws InterruptedException, IOException {
        EngineStandIn engine = RequestsCluster.engine(agent);
        agent.drain();
        long start = System.nanoTime();
        long seen = engine.started();
        double lastNew = 0;
        while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS)) {
            pause(LOOK_MILLIS);
            double now = (System.nanoTime() - start) / 1e9;
            if (engine.started() != seen) {
                seen = engine.started();
                lastNew = now;
            }
            if (agent.inFlight() == 0 && now > 2) {
                break;
            }
        }
        newWorkAfterDrainSeconds = Math.max(newWorkAfterDrainSeconds, lastNew);
        interrupted += agent.inFlight();
        restart(agent);
    }

    /**
     * Counts the crashes of all engines.
     *
     * @return crashes since the start
     */
    private int crashes() {
        return cluster.models().stream().mapToInt(a -> RequestsCluster.engine(a).crashes()).sum();
    }

    /**
     * Chooses one of some things.
     *
     * @param things things
     * @param <T> type of the things
     * @return one of them
     */
    private <T> T pick(List<T> things) {
        return things.get(random.nextInt(things.size()));
    }

    /**
     * Waits.
     *
     * @param millis time in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    private static void pause(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }
}
