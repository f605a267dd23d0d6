package org.papayawalk.lab.requests;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.papayawalk.lab.cluster.LabAgent;
import org.papayawalk.lab.cluster.LabEntry;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.FaultSettings;

/**
 * Injects the faults of an experiment one after the other, in rounds. Runs on a thread of its own;
 * other threads may stop it and read the results.
 */
final class FaultRunner implements Runnable {
    // From the end of a fault to the next one.
    private static final long FAULT_INTERVAL_MILLIS = 700;

    private static final long FAULT_DURATION_MILLIS = 1500;
    private static final long MAX_DRAIN_MILLIS = 6000;
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 10;

    // Attempts of the caller of a poison request.
    private static final int POISON_ATTEMPTS = 5;

    private final RequestsCluster cluster;
    private final List<String> faults;
    private final TestCaller caller;
    private final Random random;
    private volatile boolean running = true;
    private volatile double newWorkAfterDrainSeconds;
    private volatile int interruptedRequests;
    private volatile int maxUpstreamsCrashedByOneRequest;
    private volatile int faultsInjected;

    /**
     * Creates a runner, not started.
     *
     * @param cluster daemons and stand-ins
     * @param faults names of the faults to inject in turn, empty for none
     * @param caller client that sends poison requests
     * @param seed seed of the random choice of hosts
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
            while (running && !faults.isEmpty()) {
                sleep(FAULT_INTERVAL_MILLIS);
                String fault = faults.get(next % faults.size());
                next++;
                System.err.println("requests: fault " + fault);
                inject(fault);
                faultsInjected++;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new IllegalStateException("cannot restart a daemon after an injected fault", e);
        }
    }

    /** Stops the runner after the fault in progress. */
    void stop() {
        running = false;
    }

    /**
     * Returns the longest time from the start of a drain to the last new request at the engine.
     *
     * @return seconds, 0 if no request followed
     */
    double newWorkAfterDrainSeconds() {
        return newWorkAfterDrainSeconds;
    }

    /**
     * Returns the number of requests that were in flight when a drained agent was stopped.
     *
     * @return 0 or more
     */
    int interruptedRequests() {
        return interruptedRequests;
    }

    /**
     * Returns the highest number of upstream crashes caused by one poison request.
     *
     * @return 0 or more
     */
    int maxUpstreamsCrashedByOneRequest() {
        return maxUpstreamsCrashedByOneRequest;
    }

    /**
     * Returns the number of faults injected.
     *
     * @return 0 or more
     */
    int faultsInjected() {
        return faultsInjected;
    }

    private void inject(String fault) throws InterruptedException, IOException {
        switch (fault) {
            case "kill-agent" -> restart(pickRandom(cluster.modelAgents()));
            case "kill-service-agent" -> restart(pickRandom(cluster.serviceAgents()));
            case "kill-entry" -> {
                LabEntry entry = pickRandom(cluster.entries());
                entry.kill();
                sleep(FAULT_DURATION_MILLIS);
                entry.start();
            }
            case "lose-answer" -> injectTableFaults(new FaultSettings(false, false, 0, 0.2, 0));
            case "table-away" -> injectTableFaults(new FaultSettings(true, false, 0, 0, 0));
            case "table-slow" -> injectTableFaults(new FaultSettings(false, false, 300, 0, 0));
            case "freeze-upstream" -> {
                LabAgent agent = pickRandom(cluster.modelAgents());
                agent.upstreamFaults().setFaults(new FaultSettings(false, true, 0, 0, 0));
                sleep(FAULT_DURATION_MILLIS);
                agent.upstreamFaults().setFaults(FaultSettings.NONE);
            }
            case "poison" -> sendPoisonRequest();
            case "drain" -> drainAndRestart(pickRandom(cluster.modelAgents()));
            default ->
                    throw new IllegalArgumentException(
                            "fault \"" + fault + "\" has no implementation");
        }
    }

    private static void restart(LabAgent agent) throws InterruptedException, IOException {
        agent.kill();
        sleep(FAULT_DURATION_MILLIS);
        agent.start();
    }

    private void injectTableFaults(FaultSettings faultSettings) throws InterruptedException {
        cluster.platform().tableFaults().setFaults(faultSettings);
        sleep(FAULT_DURATION_MILLIS);
        cluster.platform().tableFaults().setFaults(FaultSettings.NONE);
    }

    // Sends a poison request and retries it at alternating entries, as its caller would.
    private void sendPoisonRequest() throws InterruptedException {
        int crashesBefore = totalCrashes();
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
            sleep(100);
        }
        maxUpstreamsCrashedByOneRequest =
                Math.max(maxUpstreamsCrashedByOneRequest, totalCrashes() - crashesBefore);
    }

    // Measures how long the agent still accepts requests after the drain has started.
    private void drainAndRestart(LabAgent agent) throws InterruptedException, IOException {
        EngineStandIn engine = RequestsCluster.engineOf(agent);
        agent.drain();
        long start = System.nanoTime();
        long startedRequests = engine.started();
        double lastNewWork = 0;
        while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(MAX_DRAIN_MILLIS)) {
            sleep(DRAIN_POLL_INTERVAL_MILLIS);
            double now = (System.nanoTime() - start) / 1e9;
            if (engine.started() != startedRequests) {
                startedRequests = engine.started();
                lastNewWork = now;
            }
            if (agent.inFlight() == 0 && now > 2) {
                break;
            }
        }
        newWorkAfterDrainSeconds = Math.max(newWorkAfterDrainSeconds, lastNewWork);
        interruptedRequests += agent.inFlight();
        restart(agent);
    }

    private int totalCrashes() {
        return cluster.modelAgents().stream()
                .mapToInt(a -> RequestsCluster.engineOf(a).crashes())
                .sum();
    }

    private <T> T pickRandom(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }

    private static void sleep(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }
}
