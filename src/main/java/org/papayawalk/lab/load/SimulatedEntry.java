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
 * Entry on virtual time. It knows of the engines what its own requests and their answers tell, and
 * decides with the classes of the product. Not thread-safe.
 */
final class SimulatedEntry {
    /** Time of a message between entry and engine. */
    private static final Duration WAY = Duration.ofMillis(1);

    /** Pause between looks for room that nothing announced. */
    private static final Duration LOOK = Duration.ofMillis(20);

    /** Engines that one attempt is sent to at the most. */
    private static final int MAX_ENGINES = 2;

    /** Clock. */
    private final VirtualTimeScheduler time;

    /** Engines by place in the list of candidates. */
    private final List<SimulatedEngine> engines;

    /** Engines as the product sees them. */
    private final List<PlacementCandidate> candidates = new ArrayList<>();

    /** Engines that this entry uses. */
    private final List<PlacementCandidate> near;

    /** Chooses engines. */
    private final PlacementRule placement;

    /** Decides how long requests wait and when refused callers come back. */
    private final LoadSheddingRule wait;

    /** Source of chance. */
    private final RandomGenerator random;

    /** Takes refused requests back to their callers. */
    private final Refusal refusal;

    /** Requests that wait. */
    private final WaitQueue<SimulatedRequest> queue = new WaitQueue<>();

    /** Whether a look is set. */
    private boolean lookSet;

    /** Takes a refused request back to its caller. */
    interface Refusal {
        /**
         * Takes a request back.
         *
         * @param call request
         * @param retryAfter when the caller may come back
         */
        void refused(SimulatedRequest call, Duration retryAfter);
    }

    /**
     * Creates an entry.
     *
     * @param time clock
     * @param engines engines
     * @param slots requests that an engine works on at once
     * @param policy way of placing and refusing
     * @param place place of this entry among the entries
     * @param entries number of entries
     * @param random source of chance
     * @param refusal takes refused requests back to their callers
     */
    SimulatedEntry(
            VirtualTimeScheduler time,
            List<SimulatedEngine> engines,
            int slots,
            LoadPolicy policy,
            int place,
            int entries,
            RandomGenerator random,
            Refusal refusal) {
        this.time = time;
        this.engines = engines;
        this.placement = policy.placement().make(entries, random);
        this.wait = policy.waiting();
        this.random = random;
        this.refusal = refusal;
        for (int i = 0; i < engines.size(); i++) {
            candidates.add(new PlacementCandidate(entry(i, slots), new UpstreamLoad()));
        }
        near = EngineSubset.of(candidates, place, entries, policy.sharers());
    }

    /**
     * Takes a request.
     *
     * @param call request
     */
    void receive(SimulatedRequest call) {
        call.begin();
        place(call, time.now());
    }

    /**
     * Sends a request, lets it wait or refuses it.
     *
     * @param call request
     * @param readAt when the entry got it
     */
    private void place(SimulatedRequest call, Instant readAt) {
        Instant now = time.now();
        boolean late = call.lateAt(now);
        WaitQueue.Rank rank = new WaitQueue.Rank(call.kind().priority(), late);
        if (queue.precedesAll(rank) && send(call)) {
            return;
        }
        Instant until = readAt.plus(wait.maxWait(call.kind().target(), Optional.empty()));
        if (queue.offer(call, rank, until, now)) {
            setLook();
        } else {
            refuse(call);
        }
    }

    /** Sets the next look for room. */
    private void setLook() {
        if (!lookSet && !queue.isEmpty()) {
            lookSet = true;
            time.after(
                    LOOK,
                    () -> {
                        lookSet = false;
                        look();
                    });
        }
    }

    /** Looks for room for those that wait. */
    private void look() {
        queue.dispatch(c -> false, this::send, time.now()).forEach(this::refuse);
        setLook();
    }

    /**
     * Refuses a request.
     *
     * @param call request
     */
    private void refuse(SimulatedRequest call) {
        Instant now = time.now();
        Duration left = Duration.between(now, call.deadline());
        Duration after =
                wait.retryAfter(call.kind().target(), left, Optional.empty(), random.nextDouble());
        refusal.refused(call, after);
    }

    /**
     * Sends a request if one of the entry's engines has room.
     *
     * @param call request
     * @return true if it was sent
     */
    private boolean send(SimulatedRequest call) {
        Instant now = time.now();
        Optional<PlacementCandidate> choice = placement.choose(near, call.tried(), now);
        if (choice.isEmpty()) {
            return false;
        }
        PlacementCandidate c = choice.get();
        call.tried().add(c.upstream().id());
        double prompt = call.promptTokens() / call.kind().prompt().mean();
        c.load().sent(prompt);
        SimulatedEngine engine = engines.get(candidates.indexOf(c));
        time.after(WAY, () -> arrive(call, c, engine, prompt));
        return true;
    }

    /**
     * Lets a request arrive at an engine.
     *
     * @param call request
     * @param choice engine as this entry sees it
     * @param engine engine
     * @param prompt length of the prompt, in prompts of usual length
     */
    private void arrive(
            SimulatedRequest call,
            PlacementCandidate choice,
            SimulatedEngine engine,
            double prompt) {
        Consumer<Runnable> back = r -> time.after(WAY, r);
        Runnable first = () -> back.accept(() -> first(call, choice, engine, prompt));
        Runnable done = () -> back.accept(() -> done(call, choice));
        if (!engine.submit(new EngineJob(call.promptTokens(), call.events(), first, done))) {
            back.accept(() -> rejected(call, choice, engine, prompt));
        }
    }

    /**
     * Learns of the first event.
     *
     * @param call request
     * @param choice engine as this entry sees it
     * @param engine engine
     * @param prompt length of the prompt, in prompts of usual length
     */
    private void first(
            SimulatedRequest call,
            PlacementCandidate choice,
            SimulatedEngine engine,
            double prompt) {
        call.first(time.now());
        choice.load().prefillEnded(prompt);
        choice.load().loadReported(engine.load(), time.now());
    }

    /**
     * Learns of the end of an answer.
     *
     * @param call request
     * @param choice engine as this entry sees it
     */
    private void done(SimulatedRequest call, PlacementCandidate choice) {
        call.done();
        choice.load().ended(AttemptResult.ANSWERED, time.now());
        look();
    }

    /**
     * Learns that an engine had no room.
     *
     * @param call request
     * @param choice engine as this entry sees it
     * @param engine engine
     * @param prompt length of the prompt, in prompts of usual length
     */
    private void rejected(
            SimulatedRequest call,
            PlacementCandidate choice,
            SimulatedEngine engine,
            double prompt) {
        choice.load().prefillEnded(prompt);
        choice.load().ended(AttemptResult.REFUSED, time.now());
        choice.load().loadReported(engine.load(), time.now());
        if (call.tried().size() < MAX_ENGINES) {
            place(call, time.now());
        } else {
            refuse(call);
        }
    }

    /**
     * Describes an engine.
     *
     * @param number place in the list
     * @param slots requests that it works on at once
     * @return entry
     */
    private static UpstreamRegistration entry(int number, int slots) {
        return new UpstreamRegistration(
                new UpstreamId("engine-" + number),
                1,
                new ServiceId("model"),
                "127.0.0.1:1",
                new DomainId("domain"),
                slots,
                false,
                Map.of());
    }
}
