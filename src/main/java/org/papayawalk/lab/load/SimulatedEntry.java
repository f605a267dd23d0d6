package org.papayawalk.lab.load;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.core.place.LoadSheddingRule;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.PlacementRule;
import org.papayawalk.core.place.UpstreamLoad;
import org.papayawalk.core.place.WaitQueue;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Simulated entry. It estimates the load of the engines from its own requests and from the load
 * reports in their answers, and decides with the placement, load shedding and queue classes of
 * production. Not thread-safe.
 */
final class SimulatedEntry {
    /** Network latency between entry and engine, one way. */
    private static final Duration ONE_WAY_LATENCY = Duration.ofMillis(1);

    /**
     * Interval at which the queue is dispatched even if no answer ends, since capacity can also
     * become free without a message to this entry.
     */
    private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(20);

    /** Maximum number of engines to which one attempt of a caller is sent. */
    private static final int MAX_ENGINES_PER_ATTEMPT = 2;

    private final VirtualTimeScheduler scheduler;

    /** Engines, at the same index as in the list of candidates. */
    private final List<SimulatedEngine> engines;

    /** Load of all engines as seen by this entry. */
    private final List<PlacementCandidate> candidates = new ArrayList<>();

    /** Candidates that are assigned to this entry. */
    private final List<PlacementCandidate> subset;

    private final PlacementRule placement;

    /** Places requests that are late already. */
    private final PlacementRule latePlacement;

    private final LoadSheddingRule loadShedding;

    private final RandomGenerator random;

    private final RefusalHandler refusalHandler;

    private final WaitQueue<SimulatedRequest> queue = new WaitQueue<>();

    private boolean dispatchScheduled;

    /** Returns refused requests to their callers. */
    interface RefusalHandler {
        /**
         * Returns a refused request to its caller.
         *
         * @param request refused request
         * @param retryAfter time after which the caller may retry
         */
        void handleRefusal(SimulatedRequest request, Duration retryAfter);
    }

    /**
     * Creates an entry.
     *
     * @param scheduler virtual time
     * @param engines engines
     * @param slots requests that an engine processes at the same time
     * @param policy placement and load shedding
     * @param entryIndex index of this entry, from 0
     * @param entries number of entries
     * @param random random generator
     * @param refusalHandler returns refused requests to their callers
     */
    SimulatedEntry(
            VirtualTimeScheduler scheduler,
            List<SimulatedEngine> engines,
            int slots,
            LoadPolicy policy,
            int entryIndex,
            int entries,
            RandomGenerator random,
            RefusalHandler refusalHandler) {
        this.scheduler = scheduler;
        this.engines = engines;
        this.placement = policy.placement().create(entryIndex, entries, random);
        this.latePlacement = policy.latePlacement().create(entryIndex, entries, random);
        this.loadShedding = policy.loadShedding();
        this.random = random;
        this.refusalHandler = refusalHandler;
        for (int i = 0; i < engines.size(); i++) {
            candidates.add(new PlacementCandidate(registration(i, slots), new UpstreamLoad()));
        }
        subset = EngineSubset.of(candidates, entryIndex, entries, policy.entriesPerEngine());
    }

    /**
     * Receives an attempt of a caller.
     *
     * @param request request
     */
    void receive(SimulatedRequest request) {
        request.beginAttempt();
        place(request, scheduler.now());
    }

    // Sends a request, adds it to the queue, or refuses it. Its wait counts from readAt.
    private void place(SimulatedRequest request, Instant readAt) {
        Instant now = scheduler.now();
        boolean late = request.isLate(now);
        WaitQueue.Rank rank = new WaitQueue.Rank(request.requestClass().priority(), late);
        if (queue.precedesAll(rank) && send(request)) {
            return;
        }
        Instant expiresAt =
                readAt.plus(
                        loadShedding.maxWait(
                                request.requestClass().targetLatency(), late, Optional.empty()));
        if (queue.offer(request, rank, expiresAt, now)) {
            scheduleDispatch();
        } else {
            refuse(request);
        }
    }

    private void scheduleDispatch() {
        if (!dispatchScheduled && !queue.isEmpty()) {
            dispatchScheduled = true;
            scheduler.scheduleAfter(
                    DISPATCH_INTERVAL,
                    () -> {
                        dispatchScheduled = false;
                        dispatch();
                    });
        }
    }

    private void dispatch() {
        queue.dispatch(c -> false, this::send, scheduler.now()).forEach(this::refuse);
        scheduleDispatch();
    }

    private void refuse(SimulatedRequest request) {
        Instant now = scheduler.now();
        Duration left = Duration.between(now, request.deadline());
        Duration retryAfter =
                loadShedding.retryAfter(
                        request.requestClass().targetLatency(),
                        left,
                        Optional.empty(),
                        random.nextDouble());
        refusalHandler.handleRefusal(request, retryAfter);
    }

    // Sends a request if one of the engines of this entry has capacity for it.
    private boolean send(SimulatedRequest request) {
        Instant now = scheduler.now();
        Optional<PlacementCandidate> candidate =
                rule(request, now).choose(subset, request.triedEngines(), now);
        if (candidate.isEmpty()) {
            return false;
        }
        PlacementCandidate c = candidate.get();
        request.triedEngines().add(c.upstream().id());
        double prompt = request.promptTokens() / request.requestClass().promptTokens().mean();
        c.load().sent(prompt);
        SimulatedEngine engine = engines.get(candidates.indexOf(c));
        scheduler.scheduleAfter(ONE_WAY_LATENCY, () -> arrive(request, c, engine, prompt));
        return true;
    }

    private PlacementRule rule(SimulatedRequest request, Instant now) {
        return request.isLate(now) ? latePlacement : placement;
    }

    // Submits a request to an engine. The prompt length is in prompts of mean length.
    private void arrive(
            SimulatedRequest request,
            PlacementCandidate candidate,
            SimulatedEngine engine,
            double prompt) {
        Consumer<Runnable> reply = r -> scheduler.scheduleAfter(ONE_WAY_LATENCY, r);
        Runnable onFirstEvent =
                () -> reply.accept(() -> handleFirstEvent(request, candidate, engine, prompt));
        Runnable onEnd = () -> reply.accept(() -> handleEnd(request, candidate));
        if (!engine.submit(
                new EngineJob(request.promptTokens(), request.events(), onFirstEvent, onEnd))) {
            reply.accept(() -> handleRejection(request, candidate, engine, prompt));
        }
    }

    private void handleFirstEvent(
            SimulatedRequest request,
            PlacementCandidate candidate,
            SimulatedEngine engine,
            double prompt) {
        request.recordFirstEvent(scheduler.now());
        candidate.load().prefillEnded(prompt);
        candidate.load().loadReported(engine.load(), scheduler.now());
    }

    private void handleEnd(SimulatedRequest request, PlacementCandidate candidate) {
        request.recordEnd();
        candidate.load().ended(AttemptResult.ANSWERED, scheduler.now());
        dispatch();
    }

    private void handleRejection(
            SimulatedRequest request,
            PlacementCandidate candidate,
            SimulatedEngine engine,
            double prompt) {
        candidate.load().prefillEnded(prompt);
        candidate.load().ended(AttemptResult.REFUSED, scheduler.now());
        candidate.load().loadReported(engine.load(), scheduler.now());
        if (request.triedEngines().size() < MAX_ENGINES_PER_ATTEMPT) {
            place(request, scheduler.now());
        } else {
            refuse(request);
        }
    }

    private static UpstreamRegistration registration(int index, int slots) {
        return new UpstreamRegistration(
                new UpstreamId("engine-" + index),
                1,
                new ServiceId("model"),
                "127.0.0.1:1",
                new DomainId("domain"),
                slots,
                false,
                Map.of());
    }
}
