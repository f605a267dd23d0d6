package org.papayawalk.daemon.standalone.entry;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.papayawalk.adapter.standalone.IdempotencyTableSchema;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.idempotency.AtMostOnceRules;
import org.papayawalk.core.idempotency.IdempotencyPhase;
import org.papayawalk.core.idempotency.IdempotencyRecord;
import org.papayawalk.core.route.RouteCandidate;
import org.papayawalk.daemon.standalone.idempotency.IdempotencyRow;
import org.papayawalk.daemon.standalone.idempotency.IdempotencyTable;
import org.papayawalk.daemon.standalone.idempotency.WriteResult;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.ResponseHead;

/**
 * Serves non-idempotent calls by the at-most-once protocol: claims the row of the call in the table
 * service, dispatches the call under the token of the claim, and if the dispatch fails, reads the
 * row to determine the outcome that the caller gets. A call that crashed too many upstreams under
 * other keys is not dispatched. Thread-safe.
 */
final class AtMostOnceCalls {
    /** Time within which the write of a row is retried. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);

    /** Interval of reads of a row that another attempt holds. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    /** Maximum time to wait for another attempt that holds the call. */
    private static final Duration CONTENTION_TIMEOUT = Duration.ofSeconds(3);

    /** Delay for the caller if the agent names none. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    /** Status for an idempotency key that was used for another request. */
    private static final int UNPROCESSABLE_CONTENT = 422;

    /** Lowest status of a response that tells of a failure. */
    private static final int FIRST_ERROR_STATUS = 400;

    /** Maximum number of hosts that a call is dispatched to under one claim. */
    private static final int MAX_HOSTS_PER_CLAIM = 3;

    private final EntryServices services;
    private final Dispatcher dispatcher;
    private final IdempotencyTable table;
    private final ResponseReplayer replayer;
    private final HostId self;
    private final InstantSource clock;
    private final AtMostOnceRules rules = new AtMostOnceRules();

    /**
     * Creates the service.
     *
     * @param services collaborators shared by all calls of the entry
     * @param table table of the rows of calls
     * @param replayer replayer of stored responses
     * @param self name of this host, written to claimed rows
     */
    AtMostOnceCalls(
            EntryServices services,
            IdempotencyTable table,
            ResponseReplayer replayer,
            HostId self) {
        this.services = services;
        dispatcher = services.dispatcher();
        this.table = table;
        this.replayer = replayer;
        this.self = self;
        clock = services.clock();
    }

    /**
     * Serves a call. Blocks until the outcome is known, the deadline passes, or another attempt has
     * held the call for too long.
     *
     * @param request request with an idempotency key
     * @return response of the upstream, stored response, or error response
     * @throws InterruptedException if the thread is interrupted
     */
    CallerResponse serve(ParsedRequest request) throws InterruptedException {
        String key =
                IdempotencyTableSchema.rowKey(request.team().value(), request.idempotencyKey());
        Optional<IdempotencyRow> row = Optional.empty();
        boolean contended = false;
        Instant contentionDeadline = clock.instant().plus(CONTENTION_TIMEOUT);
        while (clock.instant().isBefore(request.deadline())) {
            Instant now = clock.instant();
            Optional<IdempotencyRecord> record = row.map(IdempotencyRow::record);
            switch (rules.decide(record, request.fingerprint(), now)) {
                case MISMATCH -> {
                    String reason =
                            "idempotency key \"%s\" was already used for a different request"
                                    .formatted(request.idempotencyKey());
                    return failed(ErrorResponse.invalidRequest(UNPROCESSABLE_CONTENT, reason));
                }
                case REPLAY -> {
                    return replayer.replay(record.orElseThrow().answer());
                }
                case WAIT -> {
                    contended = true;
                    if (clock.instant().isAfter(contentionDeadline)) {
                        return failed(heldByOtherAttempt());
                    }
                    TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL.toMillis());
                }
                default -> {
                    Optional<CallerResponse> response = claimAndDispatch(request, key, row);
                    if (response.isPresent()) {
                        return response.get();
                    }
                }
            }
            Either<Fault, Optional<IdempotencyRow>> read = table.read(key);
            if (read.isLeft() && !contended) {
                return failed(claimNotConfirmed(read.getLeft().toString()));
            }
            row = read.getOrElse(row);
        }
        return failed(
                contended
                        ? heldByOtherAttempt()
                        : ErrorResponse.notRun(
                                "deadline passed before the call was dispatched", RETRY_AFTER));
    }

    /**
     * Looks up the outcome of a call, without waiting for one in progress.
     *
     * @param key key of the row of the call
     * @return stored response, or error response with the outcome
     */
    CallerResponse lookUpOutcome(String key) {
        Either<Fault, Optional<IdempotencyRow>> read = table.read(key);
        if (read.isLeft()) {
            String reason =
                    "row of the call cannot be read from the table service: " + read.getLeft();
            return failed(
                    ErrorResponse.unknownOutcome(
                            ErrorResponse.SERVICE_UNAVAILABLE, reason, RETRY_AFTER));
        }
        Optional<IdempotencyRecord> record = read.get().map(IdempotencyRow::record);
        if (record.isPresent() && record.get().phase() == IdempotencyPhase.ANSWERED) {
            return replayer.replay(record.get().answer());
        }
        boolean started = record.map(r -> r.phase() == IdempotencyPhase.STARTED).orElse(false);
        return failed(
                started
                        ? ErrorResponse.unknownOutcome(
                                ErrorResponse.BAD_GATEWAY,
                                "call was started; no response is stored yet",
                                RETRY_AFTER)
                        : ErrorResponse.notRun("call has not run", RETRY_AFTER));
    }

    // Returns empty if another attempt changed the row, which must be read again.
    private Optional<CallerResponse> claimAndDispatch(
            ParsedRequest request, String key, Optional<IdempotencyRow> row)
            throws InterruptedException {
        String token = UUID.randomUUID().toString();
        Instant now = clock.instant();
        IdempotencyRecord claim =
                IdempotencyRecord.claim(request.fingerprint(), token, self.value(), now);
        long revision = row.map(IdempotencyRow::revision).orElse(0L);
        WriteResult claimed = table.write(key, revision, claim, now.plus(WRITE_TIMEOUT));
        if (claimed == WriteResult.CONFLICT) {
            return Optional.empty();
        }
        if (claimed == WriteResult.UNKNOWN) {
            // Even if the claim takes effect, nothing was or will be dispatched under its token.
            return Optional.of(failed(claimNotConfirmed("the result of the write is unknown")));
        }
        ErrorResponse lastError =
                ErrorResponse.notRun(
                        "no host of fleet %s is available for the call"
                                .formatted(request.plan().spec().fleet()),
                        RETRY_AFTER);
        Set<HostId> tried = new HashSet<>();
        for (int i = 0; i < MAX_HOSTS_PER_CLAIM; i++) {
            Optional<Duration> refusal = services.suspects().refusal(request, clock.instant());
            if (refusal.isPresent()) {
                lastError = ErrorResponse.notRun(SuspectGuard.REASON, refusal.get());
                break;
            }
            Optional<RouteCandidate> candidate = dispatcher.choose(request, Digest.NONE, tried);
            if (candidate.isEmpty()) {
                break;
            }
            tried.add(candidate.get().host());
            DispatchResult result = dispatch(request, candidate.get(), key, token);
            if (result.response() != null) {
                return Optional.of(result.response());
            }
            lastError = result.error();
            if (!result.tryAnotherHost()) {
                break;
            }
        }
        return resolveClaim(request, key, claim, lastError);
    }

    private DispatchResult dispatch(
            ParsedRequest request, RouteCandidate candidate, String key, String token)
            throws InterruptedException {
        boolean suspect = services.suspects().isSuspect(request, clock.instant());
        Attempt attempt = dispatcher.dispatchNonIdempotent(request, candidate, suspect, key, token);
        Instant limit = request.deadline().plus(Dispatcher.DEADLINE_GRACE);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        ResponseHead head = ResponseHead.getDefaultInstance();
        while (true) {
            Attempt.Result result = attempt.next(limit);
            if (result.timedOut()) {
                dispatcher.abandon(attempt, true);
                return DispatchResult.failed(
                        ErrorResponse.unknownOutcome(
                                ErrorResponse.GATEWAY_TIMEOUT,
                                "no complete response before the request deadline",
                                RETRY_AFTER),
                        false);
            }
            if (result.fault() != null) {
                dispatcher.abandon(attempt, true);
                boolean unsent = result.fault().kind() == FaultKind.UNREACHABLE;
                String reason = result.fault().toString();
                ErrorResponse error =
                        unsent
                                ? ErrorResponse.notRun(reason, RETRY_AFTER)
                                : ErrorResponse.unknownOutcome(
                                        ErrorResponse.BAD_GATEWAY, reason, RETRY_AFTER);
                return DispatchResult.failed(error, unsent);
            }
            if (result.message().hasResponseHead()) {
                head = result.message().getResponseHead();
            } else if (result.message().hasResponseData()) {
                result.message().getResponseData().getData().forEach(body::write);
            } else {
                ResponseEnd end = result.message().getResponseEnd();
                dispatcher.recordEnd(attempt, end);
                boolean answered = end.getOutcome() == ResponseEnd.Outcome.ANSWERED;
                if (end.getUpstreamCrashed()) {
                    long incarnation = end.getUpstreamIncarnation();
                    services.suspects()
                            .recordCrash(request, candidate.host(), incarnation, clock.instant());
                } else if (answered && head.getStatus() < FIRST_ERROR_STATUS) {
                    services.suspects().recordAnswer(request, clock.instant());
                }
                if (answered) {
                    return DispatchResult.completed(
                            new CallerResponse.Complete(
                                    head.getStatus(),
                                    ResponseHeaders.of(candidate, head),
                                    body.toByteArray()));
                }
                return toResult(candidate, end);
            }
        }
    }

    // Releases the claim if no agent has started the call. Returns empty if the row must be read
    // again.
    private Optional<CallerResponse> resolveClaim(
            ParsedRequest request, String key, IdempotencyRecord claim, ErrorResponse lastError) {
        Either<Fault, Optional<IdempotencyRow>> read = table.read(key);
        Optional<IdempotencyRow> row = read.getOrElse(Optional.empty());
        boolean ownClaim = row.map(r -> r.record().token().equals(claim.token())).orElse(false);
        if (!ownClaim) {
            return Optional.of(failed(lastError));
        }
        IdempotencyPhase phase = row.get().record().phase();
        if (phase == IdempotencyPhase.CLAIMED) {
            Instant now = clock.instant();
            IdempotencyRecord released =
                    claim.withPhase(IdempotencyPhase.RELEASED, self.value(), now, null);
            WriteResult result =
                    table.write(key, row.get().revision(), released, now.plus(WRITE_TIMEOUT));
            if (result == WriteResult.CONFLICT) {
                return Optional.empty();
            }
            // No agent can start the call under this claim after the row is released.
            boolean isReleased = result == WriteResult.WRITTEN;
            return Optional.of(
                    failed(
                            isReleased
                                    ? ErrorResponse.notRun(
                                            lastError.reason(), lastError.retryAfter())
                                    : lastError));
        }
        boolean mayStillFinish = phase == IdempotencyPhase.STARTED && !lastError.conclusive();
        return phase == IdempotencyPhase.ANSWERED || mayStillFinish
                ? Optional.empty()
                : Optional.of(failed(lastError));
    }

    private static CallerResponse failed(ErrorResponse error) {
        return new CallerResponse.Failed(error);
    }

    private static DispatchResult toResult(RouteCandidate candidate, ResponseEnd end) {
        String reason = "host " + candidate.host() + ": " + end.getReason();
        Duration requested = Duration.ofMillis(end.getRetryAfterMillis());
        Duration retryAfter = requested.isZero() ? RETRY_AFTER : requested;
        if (end.getOutcome() == ResponseEnd.Outcome.NOT_RUN) {
            return DispatchResult.failed(
                    ErrorResponse.notRun(reason, retryAfter), end.getTryElsewhere());
        }
        return DispatchResult.failed(
                ErrorResponse.unknownOutcome(ErrorResponse.BAD_GATEWAY, reason, retryAfter)
                        .asConclusive(),
                false);
    }

    private static ErrorResponse heldByOtherAttempt() {
        return ErrorResponse.unknownOutcome(
                ErrorResponse.BAD_GATEWAY,
                "another attempt with the same idempotency key is in progress",
                RETRY_AFTER);
    }

    private static ErrorResponse claimNotConfirmed(String detail) {
        return ErrorResponse.notRun(
                "table service did not confirm the claim of the call: " + detail, RETRY_AFTER);
    }

    // Exactly one of response and error is set. Another host is tried under the same claim.
    private record DispatchResult(
            CallerResponse response, ErrorResponse error, boolean tryAnotherHost) {

        private static DispatchResult completed(CallerResponse response) {
            return new DispatchResult(response, null, false);
        }

        private static DispatchResult failed(ErrorResponse error, boolean tryAnotherHost) {
            return new DispatchResult(null, error, tryAnotherHost);
        }
    }
}
