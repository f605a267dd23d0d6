package org.papayawalk.daemon.standalone.entry;

import com.google.protobuf.ByteString;
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
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.ResponseHead;

/**
 * One call outside the at-most-once protocol, with retries on other hosts. After an upstream may
 * have run the request, only a retryable request is dispatched again. A streamed response resumes
 * after the events that the caller already received, on the same version. Not thread-safe: confined
 * to the thread that serves the caller.
 */
final class ProxiedCall {
    /** Maximum number of dispatches, including the first. */
    private static final int MAX_ATTEMPTS = 4;

    /** Maximum size of a response that is not streamed. */
    private static final int MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

    /** Maximum length of an event in bytes. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    /** Delay for the caller if the agent names none. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** Status of a response that answers the prompt. */
    private static final int STATUS_OK = 200;

    private static final String EVENT_STREAM = "text/event-stream";

    private final EntryServices services;
    private final ParsedRequest request;
    private final PromptPartCheck partCheck;
    private final Set<HostId> triedHosts = new HashSet<>();

    /** Events of a streamed response, over all attempts. */
    private final NormalizingEventSplitter events = new NormalizingEventSplitter();

    /** Body of a response that is not streamed, of the current attempt. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Attempt in progress, or null. */
    private Attempt attempt;

    private int attempts;

    /** Head of the response of the current attempt, or null. */
    private ResponseHead head;

    /** Version on which a stream must be resumed, or none. */
    private Digest pinnedVersion = Digest.NONE;

    /** Whether an upstream may have run the request in any attempt. */
    private boolean mayHaveRun;

    private boolean mayRetry = true;

    /** Whether the upstream of the current attempt has begun to answer. */
    private boolean answerBegun;

    /** When the first data of the answer of the current attempt came, or null. */
    private Instant firstDataAt;

    /** Whether the current attempt continues the stream of another one. */
    private boolean resumed;

    /** Response to the caller if there is no further attempt. */
    private ErrorResponse lastError =
            ErrorResponse.notRun("no host of the fleet is available for the request", RETRY_AFTER);

    /**
     * Creates a call. {@link #start} serves it.
     *
     * @param services collaborators shared by all calls of the entry
     * @param request request to serve
     */
    ProxiedCall(EntryServices services, ParsedRequest request) {
        this.services = services;
        this.request = request;
        partCheck = new PromptPartCheck(services.promptParts(), request.promptParts());
    }

    /**
     * Serves the call until its response is complete or its stream starts. Blocks until then.
     *
     * @return complete response, head of a stream, or error response
     * @throws InterruptedException if the thread is interrupted
     */
    CallerResponse start() throws InterruptedException {
        while (attempt != null || dispatchNext()) {
            Envelope message = nextMessage();
            if (message == null) {
                continue;
            }
            if (message.hasResponseEnd()) {
                services.retryBudget().recordSuccess();
                return new CallerResponse.Complete(
                        head.getStatus(),
                        ResponseHeaders.of(attempt.candidate(), head),
                        body.toByteArray());
            }
            if (message.hasResponseHead()) {
                if (isEventStream()) {
                    pinnedVersion = attempt.candidate().serving();
                    return new CallerResponse.Streaming(
                            head.getStatus(), ResponseHeaders.of(attempt.candidate(), head), this);
                }
                continue;
            }
            ByteString data = message.getResponseData().getData();
            if (body.size() + data.size() > MAX_BUFFERED_BYTES) {
                failOversized("response exceeds %d bytes".formatted(MAX_BUFFERED_BYTES));
                continue;
            }
            data.forEach(body::write);
        }
        return new CallerResponse.Failed(lastError);
    }

    /**
     * Delivers the events of a streamed response, with retries. Blocks until the stream ends.
     *
     * @param out writer of events to the caller
     * @throws IOException if the caller closed the connection or the stream cannot be completed
     * @throws InterruptedException if the thread is interrupted
     */
    void stream(EventWriter out) throws IOException, InterruptedException {
        try {
            while (attempt != null || dispatchNext()) {
                Envelope message = nextMessage();
                if (message == null || message.hasResponseHead()) {
                    continue;
                }
                if (message.hasResponseEnd()) {
                    services.retryBudget().recordSuccess();
                    return;
                }
                byte[] data = message.getResponseData().getData().toByteArray();
                for (byte[] event : events.feed(data)) {
                    out.writeEvent(event);
                }
                if (events.partialBytes() > MAX_EVENT_BYTES) {
                    failOversized("event exceeds %d bytes".formatted(MAX_EVENT_BYTES));
                }
            }
        } catch (IOException e) {
            abandon(false);
            throw e;
        }
        out.fail(lastError);
    }

    /** Cancels the attempt in progress, if any, because the caller no longer needs the response. */
    void abandon() {
        abandon(false);
    }

    // Returns false if the call has failed with lastError.
    private boolean dispatchNext() {
        Instant now = services.clock().instant();
        if (!mayRetry || attempts >= MAX_ATTEMPTS || !request.deadline().isAfter(now)) {
            return false;
        }
        Optional<Duration> suspectDelay = services.suspects().refusal(request, now);
        if (suspectDelay.isPresent()) {
            setError(SuspectGuard.REASON, suspectDelay.get());
            return false;
        }
        Optional<Duration> partsDelay = partCheck.admit(mayHaveRun, now);
        if (partsDelay.isPresent()) {
            setError(PromptPartGuard.REASON, partsDelay.get());
            return false;
        }
        Optional<RouteCandidate> candidate =
                services.dispatcher().choose(request, pinnedVersion, triedHosts);
        if (candidate.isEmpty() || (attempts > 0 && !services.retryBudget().tryAcquire())) {
            return false;
        }
        attempts++;
        triedHosts.add(candidate.get().host());
        head = null;
        body.reset();
        events.discardPartial();
        answerBegun = false;
        firstDataAt = null;
        resumed = events.eventCount() > 0;
        boolean suspect = services.suspects().isSuspect(request, now);
        attempt =
                services.dispatcher()
                        .dispatch(request, candidate.get(), suspect, events.eventCount());
        return true;
    }

    // Returns null if the attempt has failed.
    private Envelope nextMessage() throws InterruptedException {
        Attempt.Result result = attempt.next(request.deadline().plus(Dispatcher.DEADLINE_GRACE));
        if (result.timedOut()) {
            mayHaveRun = true;
            mayRetry = false;
            lastError =
                    ErrorResponse.unknownOutcome(
                            ErrorResponse.GATEWAY_TIMEOUT,
                            "no complete response before the request deadline",
                            RETRY_AFTER);
            abandon(true);
            return null;
        }
        if (result.fault() != null) {
            handleLoss(result.fault());
            return null;
        }
        if (!result.message().hasResponseEnd()) {
            mayHaveRun = true;
            answerBegun = true;
            if (result.message().hasResponseHead()) {
                head = result.message().getResponseHead();
            }
            if (firstDataAt == null && result.message().hasResponseData()) {
                firstDataAt = services.clock().instant();
            }
            return result.message();
        }
        ResponseEnd end = result.message().getResponseEnd();
        services.dispatcher().recordEnd(attempt, end);
        if (end.getUpstreamCrashed()) {
            recordCrash(attempt.candidate().host(), end.getUpstreamIncarnation());
        }
        boolean complete = pinnedVersion.equals(Digest.NONE) || events.isComplete();
        if (end.getOutcome() != ResponseEnd.Outcome.ANSWERED) {
            handleFailedEnd(end);
            return null;
        }
        if (!complete) {
            // A crashing engine may end its response without an error.
            handleTruncatedStream();
            return null;
        }
        boolean alive = !end.getUpstreamCrashed();
        if (alive && head.getStatus() == STATUS_OK && firstDataAt != null && !resumed) {
            services.promptParts().recordAnswer(request.promptParts(), firstDataAt);
            services.suspects().recordAnswer(request, services.clock().instant());
        }
        return result.message();
    }

    private void handleLoss(Fault fault) {
        boolean sent = fault.kind() != FaultKind.UNREACHABLE;
        mayHaveRun |= sent;
        mayRetry = !sent || request.retryable();
        setError(fault.toString(), RETRY_AFTER);
        abandon(true);
    }

    private void handleFailedEnd(ResponseEnd end) {
        boolean ran = end.getOutcome() != ResponseEnd.Outcome.NOT_RUN;
        mayHaveRun |= ran;
        mayRetry = ran ? request.retryable() : end.getTryElsewhere();
        Duration delay = Duration.ofMillis(end.getRetryAfterMillis());
        String reason = "host " + attempt.candidate().host() + ": " + end.getReason();
        setError(reason, delay.isZero() ? RETRY_AFTER : delay);
        attempt = null;
    }

    private void recordCrash(HostId host, long incarnation) {
        Instant now = services.clock().instant();
        services.suspects().recordCrash(request, host, incarnation, now);
        if (answerBegun) {
            services.promptParts().recordCrash(request.promptParts(), host, incarnation, now);
        }
    }

    private void handleTruncatedStream() {
        mayRetry = request.retryable();
        String reason =
                "host "
                        + attempt.candidate().host()
                        + ": event stream ended without its final event";
        setError(reason, RETRY_AFTER);
        attempt = null;
    }

    // An endless response is a failure of its host.
    private void failOversized(String reason) {
        mayRetry = request.retryable();
        setError("host " + attempt.candidate().host() + ": " + reason, RETRY_AFTER);
        abandon(true);
    }

    private void setError(String reason, Duration retryAfter) {
        lastError =
                mayHaveRun
                        ? ErrorResponse.unknownOutcome(
                                ErrorResponse.BAD_GATEWAY, reason, retryAfter)
                        : ErrorResponse.notRun(reason, retryAfter);
    }

    private void abandon(boolean hostFailed) {
        if (attempt != null) {
            services.dispatcher().abandon(attempt, hostFailed);
            attempt = null;
        }
    }

    private boolean isEventStream() {
        return head.getHeadersList().stream()
                .filter(h -> h.getName().equalsIgnoreCase("Content-Type"))
                .anyMatch(h -> h.getValue().startsWith(EVENT_STREAM));
    }
}
