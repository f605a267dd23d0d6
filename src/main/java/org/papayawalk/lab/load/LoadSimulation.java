package org.papayawalk.lab.load;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One simulation. The same plan, policy and seed give the same report. Not thread-safe. */
final class LoadSimulation {
    /** Time after the last request in which those under way come to their end. */
    private static final Duration TAIL = Duration.ofSeconds(12);

    /** Attempts of a caller at the most. */
    private static final int MAX_ATTEMPTS = 2;

    /** Time after which an impatient caller comes back. */
    private static final Duration IMPATIENT = Duration.ofMillis(20);

    /** What is simulated. */
    private final LoadScenario plan;

    /** Way of placing and refusing. */
    private final LoadPolicy policy;

    /** Seed of chance. */
    private final long seed;

    /** Clock. */
    private final VirtualTimeScheduler time = new VirtualTimeScheduler();

    /** Engines. */
    private final List<SimulatedEngine> engines = new ArrayList<>();

    /** Entries. */
    private final List<SimulatedEntry> entries = new ArrayList<>();

    /** Requests. */
    private final List<SimulatedRequest> calls = new ArrayList<>();

    /** Chance of what callers send, the same for every policy. */
    private final SplittableRandom demand;

    /** Chance of where callers go. */
    private final SplittableRandom ways;

    /**
     * Creates a simulation.
     *
     * @param plan what is simulated
     * @param policy way of placing and refusing
     * @param seed seed of chance
     */
    LoadSimulation(LoadScenario plan, LoadPolicy policy, long seed) {
        this.plan = plan;
        this.policy = policy;
        this.seed = seed;
        SplittableRandom root = new SplittableRandom(seed);
        demand = root.split();
        ways = root.split();
        for (int i = 0; i < plan.engines(); i++) {
            engines.add(new SimulatedEngine(time, plan.engineTimes()));
        }
        for (int i = 0; i < plan.entries(); i++) {
            entries.add(
                    new SimulatedEntry(
                            time,
                            engines,
                            plan.engineTimes().slots(),
                            policy,
                            i,
                            plan.entries(),
                            root.split(),
                            this::refused));
        }
    }

    /**
     * Runs the simulation.
     *
     * @return report
     */
    SimulationReport run() {
        for (LoadScenario.Outage o : plan.outages()) {
            time.at(Instant.EPOCH.plus(o.from()), () -> open(o, false));
            time.at(Instant.EPOCH.plus(o.from()).plus(o.length()), () -> open(o, true));
        }
        nextRequest();
        time.run(Instant.EPOCH.plus(plan.length()).plus(TAIL));
        return new SimulationSummarizer(plan, calls).report(policy.name(), seed);
    }

    /**
     * Opens or closes the engines of an outage.
     *
     * @param outage outage
     * @param takes whether they take requests
     */
    private void open(LoadScenario.Outage outage, boolean takes) {
        int count = (int) Math.round(outage.share() * engines.size());
        engines.subList(0, count).forEach(e -> e.open(takes));
    }

    /** Sets the next request of a caller. */
    private void nextRequest() {
        Duration since = Duration.between(Instant.EPOCH, time.now());
        double seconds = -Math.log(1 - demand.nextDouble()) / plan.rate(since);
        Instant at = time.now().plusNanos((long) (seconds * 1e9));
        if (at.isAfter(Instant.EPOCH.plus(plan.length()))) {
            return;
        }
        time.at(
                at,
                () -> {
                    SimulatedRequest call = draw();
                    calls.add(call);
                    entry().receive(call);
                    nextRequest();
                });
    }

    /**
     * Draws a request.
     *
     * @return request
     */
    private SimulatedRequest draw() {
        double total = plan.classes().stream().mapToDouble(RequestClass::share).sum();
        double left = demand.nextDouble() * total;
        RequestClass kind = plan.classes().get(0);
        for (RequestClass c : plan.classes()) {
            kind = c;
            left -= c.share();
            if (left < 0) {
                break;
            }
        }
        int prompt = (int) Math.round(kind.prompt().draw(demand));
        int events = (int) Math.round(kind.events().draw(demand));
        boolean impatient = demand.nextDouble() < plan.impatientShare();
        return new SimulatedRequest(kind, prompt, events, impatient, time.now());
    }

    /**
     * Returns the entry that a request goes to.
     *
     * @return any entry, some of them more often than others if the plan says so
     */
    private SimulatedEntry entry() {
        double draw = Math.pow(ways.nextDouble(), plan.unevenness());
        return entries.get((int) (entries.size() * draw));
    }

    /**
     * Takes a refused request back to its caller, which may come back once.
     *
     * @param call request
     * @param retryAfter when it may come back
     */
    private void refused(SimulatedRequest call, Duration retryAfter) {
        if (call.attempts() >= MAX_ATTEMPTS) {
            return;
        }
        Duration pause = call.impatient() ? IMPATIENT : retryAfter;
        if (time.now().plus(pause).isBefore(call.deadline())) {
            time.after(pause, () -> entry().receive(call));
        }
    }
}
