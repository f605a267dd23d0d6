package org.papayawalk.lab.load;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One simulation run. Deterministic: the same scenario, policy and seed give the same report. Not
 * thread-safe.
 */
final class LoadSimulation {
    /** Time after the last arrival in which requests in flight complete. */
    private static final Duration COMPLETION_TIME = Duration.ofSeconds(12);

    /** Maximum number of attempts of a caller; it retries once. */
    private static final int MAX_ATTEMPTS = 2;

    /** Time after which an impatient caller retries, whatever the entry asks for. */
    private static final Duration IMPATIENT_RETRY_DELAY = Duration.ofMillis(20);

    private final LoadScenario scenario;

    private final LoadPolicy policy;

    private final long seed;

    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();

    private final List<SimulatedEngine> engines = new ArrayList<>();

    private final List<SimulatedEntry> entries = new ArrayList<>();

    private final List<SimulatedRequest> requests = new ArrayList<>();

    /** Random generator for the demand; gives the same requests for every policy. */
    private final SplittableRandom demandRandom;

    /** Random generator for the choice of the entry. */
    private final SplittableRandom entryRandom;

    /**
     * Creates a simulation.
     *
     * @param scenario demand, engines and entries
     * @param policy policy under test
     * @param seed seed of all random generators
     */
    LoadSimulation(LoadScenario scenario, LoadPolicy policy, long seed) {
        this.scenario = scenario;
        this.policy = policy;
        this.seed = seed;
        SplittableRandom root = new SplittableRandom(seed);
        demandRandom = root.split();
        entryRandom = root.split();
        for (int i = 0; i < scenario.engines(); i++) {
            engines.add(new SimulatedEngine(scheduler, scenario.engineProfile()));
        }
        for (int i = 0; i < scenario.entries(); i++) {
            entries.add(
                    new SimulatedEntry(
                            scheduler,
                            engines,
                            scenario.engineProfile().slots(),
                            policy,
                            i,
                            scenario.entries(),
                            root.split(),
                            this::retryLater));
        }
    }

    /**
     * Runs the simulation.
     *
     * @return report
     */
    SimulationReport run() {
        for (LoadScenario.Outage o : scenario.outages()) {
            scheduler.scheduleAt(Instant.EPOCH.plus(o.start()), () -> setAccepting(o, false));
            scheduler.scheduleAt(
                    Instant.EPOCH.plus(o.start()).plus(o.duration()), () -> setAccepting(o, true));
        }
        scheduleNextRequest();
        scheduler.runUntil(Instant.EPOCH.plus(scenario.duration()).plus(COMPLETION_TIME));
        return new SimulationSummarizer(scenario, requests).summarize(policy.name(), seed);
    }

    private void setAccepting(LoadScenario.Outage outage, boolean accepting) {
        int count = (int) Math.round(outage.share() * engines.size());
        engines.subList(0, count).forEach(e -> e.setAccepting(accepting));
    }

    private void scheduleNextRequest() {
        Duration elapsed = Duration.between(Instant.EPOCH, scheduler.now());
        double delaySeconds =
                -Math.log(1 - demandRandom.nextDouble()) / scenario.arrivalRate(elapsed);
        Instant arrivesAt = scheduler.now().plusNanos((long) (delaySeconds * 1e9));
        if (arrivesAt.isAfter(Instant.EPOCH.plus(scenario.duration()))) {
            return;
        }
        scheduler.scheduleAt(
                arrivesAt,
                () -> {
                    SimulatedRequest request = drawRequest();
                    requests.add(request);
                    drawEntry().receive(request);
                    scheduleNextRequest();
                });
    }

    private SimulatedRequest drawRequest() {
        double total = scenario.requestClasses().stream().mapToDouble(RequestClass::share).sum();
        double left = demandRandom.nextDouble() * total;
        RequestClass requestClass = scenario.requestClasses().get(0);
        for (RequestClass c : scenario.requestClasses()) {
            requestClass = c;
            left -= c.share();
            if (left < 0) {
                break;
            }
        }
        int prompt = (int) Math.round(requestClass.promptTokens().sample(demandRandom));
        int events = (int) Math.round(requestClass.events().sample(demandRandom));
        boolean impatient = demandRandom.nextDouble() < scenario.impatientShare();
        return new SimulatedRequest(requestClass, prompt, events, impatient, scheduler.now());
    }

    // Returns a random entry; with a skew above 1, entries with a low index are drawn more often.
    private SimulatedEntry drawEntry() {
        double draw = Math.pow(entryRandom.nextDouble(), scenario.entrySkew());
        return entries.get((int) (entries.size() * draw));
    }

    // Schedules the retry of a refused request, unless its attempts or its time are used up.
    private void retryLater(SimulatedRequest request, Duration retryAfter) {
        if (request.attempts() >= MAX_ATTEMPTS) {
            return;
        }
        Duration pause = request.impatient() ? IMPATIENT_RETRY_DELAY : retryAfter;
        if (scheduler.now().plus(pause).isBefore(request.deadline())) {
            scheduler.scheduleAfter(pause, () -> drawEntry().receive(request));
        }
    }
}
