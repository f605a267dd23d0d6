package org.papayawalk.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.route.RouteCandidate;
import org.papayawalk.core.stream.NormalizingEventSplitter;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.ResponseHead;

/**
 * One call that needs no at-most-once guard. A call that was dispatched is sent again only if it is
 * safe; a stream goes on behind the events that the caller already has, on the same version. Not
 * thread-safe: confined to the caller's thread.
 */
final class PlainCall {
    /** Dispatches of one request at most. */
    private static final int MAX_ATTEMPTS = 4;

    /** Largest answer that is not streamed, in bytes. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    /** Pause after which a caller comes back when no host can take its request. */
    private static final Duration NO_HOST_PAUSE = Duration.ofSeconds(1);

    /** Media type of a streamed answer. */
    private static final String EVENT_STREAM = "text/event-stream";

    /** What the calls of the entry share. */
    private final EntryServices services;

    /** Request. */
    private final CallRequest request;

    /** Hosts that were tried. */
    private final Set<HostId> tried = new HashSet<>();

    /** Events of a streamed answer. */
    private final NormalizingEventSplitter events = new NormalizingEventSplitter();

    /** Body of an answer that is not streamed. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Dispatch under way, or null. */
    private Attempt attempt;

    /** Dispatches so far. */
    private int attempts;

    /** Head of the answer of the dispatch under way, or null. */
    private ResponseHead head;

    /** Version that a stream must be continued on, or none. */
    private Digest pinned = Digest.NONE;

    /** Whether some upstream may have run the request. */
    private boolean dispatched;

    /** Whether the request may be sent again. */
    private boolean retry = true;

    /** What the caller is told if there is no further dispatch. */
    private Refusal last =
            Refusal.notRun("no host of the fleet can take the request", NO_HOST_PAUSE);

    /**
     * Creates a call.
     *
     * @param services what the calls of the entry share
     * @param request request
     */
    PlainCall(EntryServices services, CallRequest request) {
        this.services = services;
        this.request = request;
    }

    /**
     * Serves the call up to its whole answer or to the start of its stream.
     *
     * @return answer to the caller
     * @throws InterruptedException if the thread is interrupted
     */
    CallerAnswer start() throws InterruptedException {
        while (attempt != null || dispatchNext()) {
            Envelope message = next();
            if (message == null) {
                continue;
            }
            if (message.hasResponseEnd()) {
                services.budget().recordSuccess();
                return new CallerAnswer.Whole(
                        head.getStatus(),
                        AnswerHeaders.of(attempt.candidate(), head),
                        body.toByteArray());
            }
            if (message.hasResponseHead()) {
                head = message.getResponseHead();
                if (isStream()) {
                    pinned = attempt.candidate().serving();
                    return new CallerAnswer.Streaming(
                            head.getStatus(), AnswerHeaders.of(attempt.candidate(), head), this);
                }
                continue;
            }
            message.getResponseData().getData().forEach(body::write);
            if (body.size() > MAX_ANSWER_BYTES) {
                giveUp("the answer is too large");
            }
        }
        return new CallerAnswer.Refused(last);
    }

    /**
     * Delivers the events of a streamed answer.
     *
     * @param out takes the events
     * @throws IOException if the caller has gone or the stream cannot be completed
     * @throws InterruptedException if the thread is interrupted
     */
    void stream(EventWriter out) throws IOException, InterruptedException {
        try {
            while (attempt != null || dispatchNext()) {
                Envelope message = next();
                if (message == null || message.hasResponseHead()) {
                    continue;
                }
                if (message.hasResponseEnd()) {
                    services.budget().recordSuccess();
                    return;
                }
                byte[] data = message.getResponseData().getData().toByteArray();
                for (byte[] event : events.feed(data)) {
                    out.event(event);
                }
            }
        } catch (IOException e) {
            abandon(false);
            throw e;
        }
        out.fail(last);
    }

    /** Breaks the call off, because its caller has gone. */
    void abandon() {
        abandon(false);
    }

    /**
     * Dispatches to the next host.
     *
     * @return false if the call has failed
     */
    private boolean dispatchNext() {
        Instant now = services.clock().instant();
        if (!retry || attempts >= MAX_ATTEMPTS || !request.deadline().isAfter(now)) {
            return false;
        }
        SuspectRegistry.Verdict verdict = services.suspects().verdict(request.fingerprint(), now);
        if (verdict == SuspectRegistry.Verdict.REFUSED) {
            String reason = "the request was running when several upstreams crashed";
            refuse(reason, services.suspects().retryAfter(request.fingerprint(), now));
            return false;
        }
        Optional<RouteCandidate> candidate = services.dispatcher().choose(request, pinned, tried);
        if (candidate.isEmpty() || (attempts > 0 && !services.budget().tryAcquire())) {
            return false;
        }
        attempts++;
        tried.add(candidate.get().host());
        head = null;
        body.reset();
        events.discardPartial();
        boolean suspect = verdict == SuspectRegistry.Verdict.SUSPECT;
        attempt =
                services.dispatcher()
                        .dispatch(request, candidate.get(), suspect, events.eventCount());
        return true;
    }

    /**
     * Takes the next message of the dispatch under way.
     *
     * @return a part or the end of a whole answer, or null if the dispatch has failed
     * @throws InterruptedException if the thread is interrupted
     */
    private Envelope next() throws InterruptedException {
        Attempt.Item item = attempt.next(request.deadline().plus(Dispatcher.DEADLINE_GRACE));
        if (item.timedOut()) {
            dispatched = true;
            retry = false;
            last = Refusal.unknown(Refusal.TIMEOUT, "the deadline passed", NO_HOST_PAUSE);
            abandon(true);
            return null;
        }
        if (item.fault() != null) {
            lost(item.fault());
            return null;
        }
        if (!item.message().hasResponseEnd()) {
            dispatched = true;
            return item.message();
        }
        ResponseEnd end = item.message().getResponseEnd();
        services.dispatcher().ended(attempt, end);
        boolean whole = pinned.equals(Digest.NONE) || events.isComplete();
        if (end.getOutcome() != ResponseEnd.Outcome.ANSWERED) {
            failed(end);
            return null;
        }
        if (!whole) {
            // An engine that crashes may end its answer as if it were whole.
            truncated();
            return null;
        }
        return item.message();
    }

    /**
     * Handles the loss of the agent.
     *
     * @param fault loss
     */
    private void lost(Fault fault) {
        boolean sent = fault.kind() != FaultKind.UNREACHABLE;
        dispatched |= sent;
        retry = !sent || request.safe();
        refuse(fault.toString(), NO_HOST_PAUSE);
        abandon(true);
    }

    /**
     * Handles an end without a whole answer.
     *
     * @param end end message
     */
    private void failed(ResponseEnd end) {
        boolean ran = end.getOutcome() != ResponseEnd.Outcome.NOT_RUN;
        if (end.getUpstreamCrashed()) {
            // The notice to all entries may come after the next dispatch.
            services.suspects()
                    .recordCrash(
                            request.fingerprint(),
                            attempt.candidate().host() + "/" + end.getUpstreamIncarnation(),
                            services.clock().instant());
        }
        dispatched |= ran;
        retry = ran ? request.safe() : end.getTryElsewhere();
        Duration pause = Duration.ofMillis(end.getRetryAfterMillis());
        String reason = "host " + attempt.candidate().host() + ": " + end.getReason();
        refuse(reason, pause.isZero() ? NO_HOST_PAUSE : pause);
        attempt = null;
    }

    /** Handles a stream that ended without its last event. */
    private void truncated() {
        retry = request.safe();
        String reason = "host " + attempt.candidate().host() + ": the stream lacks its end";
        refuse(reason, NO_HOST_PAUSE);
        attempt = null;
    }

    /**
     * Breaks the dispatch under way off for good.
     *
     * @param reason why
     */
    private void giveUp(String reason) {
        retry = false;
        refuse(reason, Duration.ZERO);
        abandon(false);
    }

    /**
     * Sets what the caller is told if there is no further dispatch.
     *
     * @param reason why
     * @param pause when to come back
     */
    private void refuse(String reason, Duration pause) {
        last =
                dispatched
                        ? Refusal.unknown(Refusal.BAD_GATEWAY, reason, pause)
                        : Refusal.notRun(reason, pause);
    }

    /**
     * Breaks the dispatch under way off.
     *
     * @param suspicious whether the agent may be at fault
     */
    private void abandon(boolean suspicious) {
        if (attempt != null) {
            services.dispatcher().abandoned(attempt, suspicious);
            attempt = null;
        }
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return true if its media type says so
     */
    private boolean isStream() {
        return head.getHeadersList().stream()
                .filter(h -> h.getName().equalsIgnoreCase("Content-Type"))
                .anyMatch(h -> h.getValue().startsWith(EVENT_STREAM));
    }
}
