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
 * Sole door to one upstream. A request passes only while the upstream reports the version that the
 * entry chose, and every request ends with exactly one end message. Thread-safe: one lock guards
 * the admission; forwarding runs outside it.
 */
public final class UpstreamGateway {
    /** Forwards admitted requests. */
    private final Forwarder forwarder;

    /** Clock. */
    private final InstantSource clock;

    /** Threads that forward. */
    private final Executor work;

    /** Admission. */
    private final AdmissionQueue queue = new AdmissionQueue(1, 0);

    /** Waiting calls by ticket. */
    private final Map<Ticket, AgentCall> waiting = new HashMap<>();

    /** Started calls. */
    private final Set<AgentCall> running = new HashSet<>();

    /** Plan of the fleet, or null while none is known. */
    private FleetPlan plan;

    /** What the upstream last reported. */
    private UpstreamState upstream = UpstreamState.UNKNOWN;

    /** Whether the door is closed for a change of version. */
    private boolean paused;

    /** Whether the door is closed for good. */
    private boolean draining;

    /**
     * Creates a door.
     *
     * @param forwarder forwards admitted requests
     * @param clock clock
     * @param work threads that forward
     */
    public UpstreamGateway(Forwarder forwarder, InstantSource clock, Executor work) {
        this.forwarder = forwarder;
        this.clock = clock;
        this.work = work;
    }

    /**
     * Sets the plan of the fleet.
     *
     * @param newPlan plan in force, or null if the configuration does not list the fleet
     */
    public synchronized void plan(FleetPlan newPlan) {
        plan = newPlan;
        if (newPlan != null) {
            queue.setLimits(newPlan.spec().maxInFlight(), newPlan.spec().maxQueue());
        }
    }

    /**
     * Takes the upstream's report.
     *
     * @param state report
     */
    public synchronized void report(UpstreamState state) {
        upstream = state;
    }

    /**
     * Returns the upstream's last report.
     *
     * @return report
     */
    public synchronized UpstreamState upstream() {
        return upstream;
    }

    /**
     * Takes a request.
     *
     * @param message message that carries it
     * @param entry connection to the entry
     */
    public void request(Envelope message, PeerServerConnection entry) {
        Instant now = clock.instant();
        UpstreamRequest r = message.getUpstreamRequest();
        CallCompletion refusal;
        AgentCall call;
        synchronized (this) {
            Instant deadline = now.plusMillis(r.getRemainingMillis());
            TeamId team = new TeamId(r.getTeam());
            int weight = plan == null ? 1 : plan.spec().weightOf(team);
            Ticket ticket = new Ticket(team, weight, Priority.ofNumber(r.getPriority()), deadline);
            call = new AgentCall(message, entry, ticket);
            refusal = refusal(r, now);
            if (refusal == null) {
                Admission admission = queue.offer(ticket, now);
                switch (admission.verdict()) {
                    case START -> begin(call);
                    case WAIT -> waiting.put(ticket, call);
                    default ->
                            refusal =
                                    CallCompletion.notRun(
                                            admission.reason(), admission.retryAfter());
                }
            }
        }
        if (refusal != null) {
            end(call, refusal, 0);
        }
    }

    /**
     * Breaks a call off.
     *
     * @param entry connection of the call
     * @param number number of the call
     */
    public void cancel(PeerServerConnection entry, long number) {
        find(entry, number).ifPresent(this::withdraw);
    }

    /**
     * Breaks all calls of a connection off.
     *
     * @param entry connection that was closed
     */
    public void closed(PeerServerConnection entry) {
        List<AgentCall> calls;
        synchronized (this) {
            calls =
                    Stream.concat(waiting.values().stream(), running.stream())
                            .filter(c -> c.entry() == entry)
                            .toList();
        }
        calls.forEach(this::withdraw);
    }

    /**
     * Closes the door for a change of version. Waiting requests end as not run; running ones go on.
     *
     * @return requests that still run
     */
    public int pauseAndCountRunning() {
        List<AgentCall> refused;
        int count;
        synchronized (this) {
            paused = true;
            refused = takeWaiting(queue.removeAll());
            count = queue.inFlight();
        }
        refused.forEach(
                c -> end(c, CallCompletion.tryElsewhere("the upstream changes version"), 0));
        return count;
    }

    /** Opens the door after a change of version. */
    public synchronized void resume() {
        paused = false;
    }

    /** Closes the door for good. Waiting requests end as not run; running ones go on. */
    public void drain() {
        List<AgentCall> refused;
        synchronized (this) {
            draining = true;
            refused = takeWaiting(queue.removeAll());
        }
        refused.forEach(c -> end(c, CallCompletion.tryElsewhere("the host is leaving"), 0));
    }

    /**
     * Tells whether the door is closed for good.
     *
     * @return true once it drains
     */
    public synchronized boolean draining() {
        return draining;
    }

    /** Refuses waiting requests whose deadline has passed. */
    public void expire() {
        Instant now = clock.instant();
        List<AgentCall> expired;
        Duration retryAfter;
        synchronized (this) {
            expired = takeWaiting(queue.removeExpired(now));
            retryAfter = queue.retryAfter();
        }
        CallCompletion late =
                CallCompletion.notRun("the deadline passed while it waited", retryAfter);
        expired.forEach(c -> end(c, late, 0));
        overdue(now).forEach(AgentCall::cancel);
    }

    /**
     * Returns the started calls whose deadline has passed.
     *
     * @param now present time
     * @return calls to break off
     */
    private synchronized List<AgentCall> overdue(Instant now) {
        return running.stream().filter(c -> !c.ticket().deadline().isAfter(now)).toList();
    }

    /**
     * Returns the number of requests that run.
     *
     * @return 0 or more
     */
    public synchronized int inFlight() {
        return queue.inFlight();
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return 0 or more
     */
    public synchronized int queued() {
        return queue.queued();
    }

    /**
     * Returns the fingerprints of the requests that run.
     *
     * @return fingerprints
     */
    public synchronized List<String> runningFingerprints() {
        return running.stream()
                .filter(c -> c.forwardedAt() != null)
                .map(c -> c.request().getFingerprint())
                .distinct()
                .toList();
    }

    /**
     * Decides whether a request is refused before admission. Called under the lock.
     *
     * @param r request
     * @param now present time
     * @return the end of the request, or null if it may be admitted
     */
    private CallCompletion refusal(UpstreamRequest r, Instant now) {
        if (draining) {
            return CallCompletion.tryElsewhere("the host is leaving");
        }
        if (plan == null || !plan.spec().fleet().value().equals(r.getFleet())) {
            return CallCompletion.tryElsewhere(
                    "the host does not serve fleet \"" + r.getFleet() + "\"");
        }
        if (paused) {
            return CallCompletion.tryElsewhere("the upstream changes version");
        }
        if (!upstream.healthy(now)) {
            return CallCompletion.tryElsewhere("the upstream does not answer");
        }
        boolean model = plan.spec().kind() == UpstreamKind.MODEL;
        if (model && !upstream.serving().value().equals(r.getDigest())) {
            return CallCompletion.tryElsewhere("the upstream serves another version");
        }
        return null;
    }

    /**
     * Starts a call. Called under the lock.
     *
     * @param call call whose ticket was started
     */
    private void begin(AgentCall call) {
        running.add(call);
        work.execute(() -> run(call));
    }

    /**
     * Forwards a call and ends it.
     *
     * @param call call that was started
     */
    private void run(AgentCall call) {
        Forwarder.Result result;
        try {
            result = forwarder.forward(call);
        } catch (RuntimeException e) {
            Event.named("forward-failed").error(e);
            String reason = "the agent failed: " + e;
            result = new Forwarder.Result(CallCompletion.unknown(reason, false), 0);
        }
        finish(call);
        end(call, result.end(), result.dataCount());
    }

    /**
     * Frees the place of a call and starts those whose turn it is.
     *
     * @param call call that has ended
     */
    private synchronized void finish(AgentCall call) {
        running.remove(call);
        Instant at = call.forwardedAt();
        queue.finished(at == null ? null : Duration.between(at, clock.instant()));
        for (Ticket t : queue.startNext()) {
            begin(waiting.remove(t));
        }
    }

    /**
     * Takes calls out of the waiting ones. Called under the lock.
     *
     * @param tickets their tickets
     * @return the calls
     */
    private List<AgentCall> takeWaiting(List<Ticket> tickets) {
        return tickets.stream().map(waiting::remove).toList();
    }

    /**
     * Breaks a call off, wherever it is.
     *
     * @param call call
     */
    private void withdraw(AgentCall call) {
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

    /**
     * Looks up a call.
     *
     * @param entry connection of the call
     * @param number number of the call
     * @return the call, or empty if it has ended
     */
    private synchronized Optional<AgentCall> find(PeerServerConnection entry, long number) {
        return Stream.concat(waiting.values().stream(), running.stream())
                .filter(c -> c.entry() == entry && c.number() == number)
                .findFirst();
    }

    /**
     * Sends the end of a call.
     *
     * @param call call
     * @param end its end
     * @param dataCount data messages sent before
     */
    private void end(AgentCall call, CallCompletion end, long dataCount) {
        call.end(end, dataCount, inFlight(), queued());
    }
}
