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
    private static final long FAULT_INTERVAL_MILLIS = 700;

    private static final long FAULT_DURATION_MILLIS = 1500;

    private static final long MAX_DRAIN_MILLIS = 6000;

    private static final long DRAIN_POLL_INTERVAL_MILLIS = 10;

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
            throw new IllegalStateException("a daemon cannot be restarted", e);
        }
    }

    /** Ends after the present fault. */
    void stop() {
        running = false;
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
    int interruptedRequests() {
        return interruptedRequests;
    }

    /**
     * Returns the most upstreams that one request crashed.
     *
     * @return 0 or more
     */
    int maxUpstreamsCrashedByOneRequest() {
        return maxUpstreamsCrashedByOneRequest;
    }

    /**
     * Returns the number of faults caused.
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
            default -> throw new IllegalArgumentException("fault \"" + fault + "\" is unknown");
        }
    }

    private static void restart(LabAgent agent) throws InterruptedException, IOException {
        agent.kill();
        sleep(FAULT_DURATION_MILLIS);
        agent.start();
    }

    private void injectTableFaults(FaultSettings settings) throws InterruptedException {
        cluster.platform().tableFaults().setFaults(settings);
        sleep(FAULT_DURATION_MILLIS);
        cluster.platform().tableFaults().setFaults(FaultSettings.NONE);
    }

    private void sendPoisonRequest() throws InterruptedException {
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
            sleep(100);
        }
        maxUpstreamsCrashedByOneRequest =
                Math.max(maxUpstreamsCrashedByOneRequest, crashes() - before);
    }

    private void drainAndRestart(LabAgent agent) throws InterruptedException, IOException {
        EngineStandIn engine = RequestsCluster.engineOf(agent);
        agent.drain();
        long start = System.nanoTime();
        long seen = engine.started();
        double lastNew = 0;
        while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(MAX_DRAIN_MILLIS)) {
            sleep(DRAIN_POLL_INTERVAL_MILLIS);
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
        interruptedRequests += agent.inFlight();
        restart(agent);
    }

    private int crashes() {
        return cluster.modelAgents().stream()
                .mapToInt(a -> RequestsCluster.engineOf(a).crashes())
                .sum();
    }

    private <T> T pickRandom(List<T> things) {
        return things.get(random.nextInt(things.size()));
    }

    private static void sleep(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }
}
