package org.papayawalk.daemon.standalone.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.stream.Stream;
import org.papayawalk.core.admit.Admission;
import org.papayawalk.core.admit.AdmissionQueue;
import org.papayawalk.core.admit.Priority;
import org.papayawalk.core.admit.Ticket;
import org.papayawalk.core.config.FleetPlan;
import org.papayawalk.core.config.UpstreamKind;
import org.papayawalk.core.id.TeamId;
import org.papayawalk.log.Event;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.UpstreamRequest;

/**
 * Gateway through which all requests reach one upstream. A request to a model is admitted only
 * while the upstream reports the version that the entry chose. Every request ends with exactly one
 * end message, unless it is canceled while queued.
 *
 * <p>Thread-safe: one lock guards the admission state; requests are forwarded without the lock.
 */
public final class UpstreamGateway {
    private final Forwarder forwarder;

    private final InstantSource clock;

    private final Executor work;

    /**
     * Limits before the first plan are placeholders: requests are refused until there is a plan.
     */
    private final AdmissionQueue queue = new AdmissionQueue(1, 0);

    /** Queued calls by ticket. */
    private final Map<Ticket, AgentCall> waiting = new HashMap<>();

    /** Calls whose ticket was started and that have not ended. */
    private final Set<AgentCall> running = new HashSet<>();

    /** Null while the configuration does not list the fleet. */
    private FleetPlan plan;

    private UpstreamState upstream = UpstreamState.UNKNOWN;

    /** Whether new requests are refused during a switch to another version. */
    private boolean paused;

    /** Whether new requests are refused for the rest of the process lifetime. */
    private boolean draining;

    /**
     * Creates a gateway that refuses requests until it has a plan and a health report.
     *
     * @param forwarder forwards admitted requests
     * @param clock clock
     * @param work executor that runs the forwarder
     */
    public UpstreamGateway(Forwarder forwarder, InstantSource clock, Executor work) {
        this.forwarder = forwarder;
        this.clock = clock;
        this.work = work;
    }

    /**
     * Sets the plan of the fleet, which limits the requests in flight and queued.
     *
     * @param newPlan plan in force, or null if the configuration does not list the fleet
     */
    public synchronized void setPlan(FleetPlan newPlan) {
        plan = newPlan;
        if (newPlan != null) {
            queue.setLimits(newPlan.spec().maxInFlight(), newPlan.spec().maxQueue());
        }
    }

    /**
     * Records a health report of the upstream.
     *
     * @param state report
     */
    public synchronized void recordState(UpstreamState state) {
        upstream = state;
    }

    /**
     * Returns the last health report of the upstream.
     *
     * @return report, {@link UpstreamState#UNKNOWN} before the first one
     */
    public synchronized UpstreamState upstream() {
        return upstream;
    }

    /**
     * Admits, queues or refuses a request.
     *
     * @param message message with the request
     * @param entry connection to the entry that sent it
     */
    public void handleRequest(Envelope message, PeerServerConnection entry) {
        Instant now = clock.instant();
        UpstreamRequest r = message.getUpstreamRequest();
        CallCompletion refusal;
        AgentCall call;
        synchronized (this) {
            Instant deadline = now.plusMillis(r.getRemainingMillis());
            TeamId team = TeamId.ofPlainName(r.getTeam());
            int weight = plan == null ? 1 : plan.spec().weightOf(team);
            Ticket ticket = new Ticket(team, weight, Priority.ofNumber(r.getPriority()), deadline);
            call = new AgentCall(message, entry, ticket);
            refusal = checkAdmissible(r, now);
            if (refusal == null) {
                Admission admission = queue.offer(ticket, now);
                switch (admission.verdict()) {
                    case START -> start(call);
                    case WAIT -> waiting.put(ticket, call);
                    default ->
                            refusal =
                                    CallCompletion.notRun(
                                            admission.reason(), admission.retryAfter());
                }
            }
        }
        if (refusal != null) {
            sendEnd(call, refusal, 0);
        }
    }

    /**
     * Cancels a call. Has no effect if the call has ended.
     *
     * @param entry connection of the call
     * @param number number of the call on its connection
     */
    public void cancel(PeerServerConnection entry, long number) {
        find(entry, number).ifPresent(this::cancelCall);
    }

    /**
     * Cancels all calls of a connection.
     *
     * @param entry connection that was closed
     */
    public void connectionClosed(PeerServerConnection entry) {
        List<AgentCall> calls;
        synchronized (this) {
            calls =
                    Stream.concat(waiting.values().stream(), running.stream())
                            .filter(c -> c.entry() == entry)
                            .toList();
        }
        calls.forEach(this::cancelCall);
    }

    /**
     * Pauses admission for a switch to another version. Queued requests end as not run; requests in
     * flight continue.
     *
     * @return number of requests in flight
     */
    public int pauseAndCountRunning() {
        List<AgentCall> refused;
        int count;
        synchronized (this) {
            paused = true;
            refused = removeWaiting(queue.removeAll());
            count = queue.inFlight();
        }
        refused.forEach(
                c ->
                        sendEnd(
                                c,
                                CallCompletion.tryElsewhere(
                                        "the upstream is switching to another version"),
                                0));
        return count;
    }

    /** Resumes admission after a pause. Has no effect on draining. */
    public synchronized void resume() {
        paused = false;
    }

    /**
     * Stops admission for the rest of the process lifetime. Queued requests end as not run;
     * requests in flight continue.
     */
    public void drain() {
        List<AgentCall> refused;
        synchronized (this) {
            draining = true;
            refused = removeWaiting(queue.removeAll());
        }
        refused.forEach(c -> sendEnd(c, CallCompletion.tryElsewhere("the host is draining"), 0));
    }

    /**
     * Returns whether the gateway is draining.
     *
     * @return true after {@link #drain}
     */
    public synchronized boolean draining() {
        return draining;
    }

    /**
     * Refuses queued requests whose deadline has passed, and cancels requests in flight whose
     * deadline has passed.
     */
    public void expire() {
        Instant now = clock.instant();
        List<AgentCall> expired;
        Duration retryAfter;
        synchronized (this) {
            expired = removeWaiting(queue.removeExpired(now));
            retryAfter = queue.retryAfter();
        }
        CallCompletion late =
                CallCompletion.notRun(
                        "the deadline passed while the request was queued at the agent",
                        retryAfter);
        expired.forEach(c -> sendEnd(c, late, 0));
        overdue(now).forEach(AgentCall::cancel);
    }

    private synchronized List<AgentCall> overdue(Instant now) {
        return running.stream().filter(c -> !c.ticket().deadline().isAfter(now)).toList();
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return 0 or more
     */
    public synchronized int inFlight() {
        return queue.inFlight();
    }

    /**
     * Returns the number of queued requests.
     *
     * @return 0 or more
     */
    public synchronized int queued() {
        return queue.queued();
    }

    /**
     * Returns the requests that were forwarded and have not ended.
     *
     * @return distinct requests
     */
    public synchronized List<RunningRequest> runningRequests() {
        return running.stream()
                .filter(c -> c.forwardedAt() != null)
                .map(AgentCall::running)
                .distinct()
                .toList();
    }

    // Returns the completion of a request that must not be admitted, null if it may be. Called
    // under the lock.
    private CallCompletion checkAdmissible(UpstreamRequest r, Instant now) {
        if (draining) {
            return CallCompletion.tryElsewhere("the host is draining");
        }
        if (plan == null || !plan.spec().fleet().value().equals(r.getFleet())) {
            return CallCompletion.tryElsewhere(
                    "the host does not serve fleet \"" + r.getFleet() + "\"");
        }
        if (paused) {
            return CallCompletion.tryElsewhere("the upstream is switching to another version");
        }
        if (!upstream.isHealthy(now)) {
            return CallCompletion.tryElsewhere(
                    "the upstream did not answer its recent health probes");
        }
        boolean model = plan.spec().kind() == UpstreamKind.MODEL;
        if (model && !upstream.serving().value().equals(r.getDigest())) {
            return CallCompletion.tryElsewhere(
                    "the upstream serves version "
                            + upstream.serving().shortText()
                            + ", not the requested one");
        }
        return null;
    }

    // Called under the lock.
    private void start(AgentCall call) {
        running.add(call);
        work.execute(() -> forwardAndEnd(call));
    }

    private void forwardAndEnd(AgentCall call) {
        Forwarder.Result result;
        try {
            result = forwarder.forward(call);
        } catch (RuntimeException e) {
            Event.named("forward-failed").error(e);
            String reason = "the agent failed to forward the request: " + e;
            result = new Forwarder.Result(CallCompletion.unknown(reason, false), 0);
        }
        releaseSlot(call);
        sendEnd(call, result.completion(), result.dataCount());
    }

    // Frees the slot of a call that has ended, and starts queued calls.
    private synchronized void releaseSlot(AgentCall call) {
        running.remove(call);
        Instant at = call.forwardedAt();
        queue.finished(at == null ? null : Duration.between(at, clock.instant()));
        for (Ticket t : queue.startNext()) {
            start(waiting.remove(t));
        }
    }

    // Called under the lock.
    private List<AgentCall> removeWaiting(List<Ticket> tickets) {
        return tickets.stream().map(waiting::remove).toList();
    }

    // A queued call is removed without an end message; a running one is canceled.
    private void cancelCall(AgentCall call) {
        boolean removed;
        synchronized (this) {
            removed = queue.remove(call.ticket());
            if (removed) {
                waiting.remove(call.ticket());
            }
        }
        if (!removed) {
            call.cancel();
        }
    }

    private synchronized Optional<AgentCall> find(PeerServerConnection entry, long number) {
        return Stream.concat(waiting.values().stream(), running.stream())
                .filter(c -> c.entry() == entry && c.callNumber() == number)
                .findFirst();
    }

    private void sendEnd(AgentCall call, CallCompletion completion, long dataCount) {
        call.sendEnd(completion, dataCount, inFlight(), queued());
    }
}
