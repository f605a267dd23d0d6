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
 * Serves non-idempotent calls by the at-most-once protocol: claim the row, dispatch under the
 * claim's token, and after a loss let the row decide what is said. Thread-safe.
 */
final class AtMostOnceCalls {
    /** Longest time to try a change of the row. */
    private static final Duration WRITE_LIMIT = Duration.ofSeconds(2);

    /** Time between reads of a row that another attempt holds. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    /** Longest wait for another attempt that holds the call. */
    private static final Duration CONTENTION_LIMIT = Duration.ofSeconds(3);

    /** Pause after which a caller comes back. */
    private static final Duration PAUSE = Duration.ofSeconds(2);

    /** Status of a key that stands for another request. */
    private static final int MISMATCH = 422;

    /** Hosts that one claim is dispatched to at most. */
    private static final int MAX_ATTEMPTS = 3;

    /** Dispatches to agents. */
    private final Dispatcher dispatcher;

    /** Rows. */
    private final IdempotencyTable table;

    /** Answers kept for replay. */
    private final ResponseReplayer keptAnswers;

    /** Name of this host. */
    private final HostId self;

    /** Clock. */
    private final InstantSource clock;

    /** Rules. */
    private final AtMostOnceRules rules = new AtMostOnceRules();

    /**
     * Creates the service.
     *
     * @param dispatcher dispatches to agents
     * @param table rows
     * @param keptAnswers answers kept for replay
     * @param self name of this host
     * @param clock clock
     */
    AtMostOnceCalls(
            Dispatcher dispatcher,
            IdempotencyTable table,
            ResponseReplayer keptAnswers,
            HostId self,
            InstantSource clock) {
        this.dispatcher = dispatcher;
        this.table = table;
        this.keptAnswers = keptAnswers;
        this.self = self;
        this.clock = clock;
    }

    /**
     * Serves a call.
     *
     * @param request request with an idempotency key
     * @return answer to the caller
     * @throws InterruptedException if the thread is interrupted
     */
    CallerResponse serve(ParsedRequest request) throws InterruptedException {
        String key =
                IdempotencyTableSchema.rowKey(request.team().value(), request.idempotencyKey());
        Optional<IdempotencyRow> row = Optional.empty();
        boolean contended = false;
        Instant patience = clock.instant().plus(CONTENTION_LIMIT);
        while (clock.instant().isBefore(request.deadline())) {
            Instant now = clock.instant();
            Optional<IdempotencyRecord> record = row.map(IdempotencyRow::record);
            switch (rules.onArrival(record, request.fingerprint(), now)) {
                case MISMATCH -> {
                    String reason = "the idempotency key stands for another request";
                    return refused(ErrorResponse.wrong(MISMATCH, reason));
                }
                case REPLAY -> {
                    return keptAnswers.replay(record.orElseThrow().answer());
                }
                case WAIT -> {
                    contended = true;
                    if (clock.instant().isAfter(patience)) {
                        return refused(held());
                    }
                    TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL.toMillis());
                }
                default -> {
                    Optional<CallerResponse> answer = claim(request, key, row);
                    if (answer.isPresent()) {
                        return answer.get();
                    }
                }
            }
            Either<Fault, Optional<IdempotencyRow>> read = table.read(key);
            if (read.isLeft() && !contended) {
                return refused(tableAway(read.getLeft().toString()));
            }
            row = read.getOrElse(row);
        }
        return refused(
                contended
                        ? held()
                        : ErrorResponse.notRun(
                                "the deadline passed before it was dispatched", PAUSE));
    }

    /**
     * Looks up what became of a call.
     *
     * @param key key of the row
     * @return answer to the caller
     */
    CallerResponse outcome(String key) {
        Either<Fault, Optional<IdempotencyRow>> read = table.read(key);
        if (read.isLeft()) {
            String reason = "the table service is away: " + read.getLeft();
            return refused(ErrorResponse.unknown(ErrorResponse.UNAVAILABLE, reason, PAUSE));
        }
        Optional<IdempotencyRecord> record = read.get().map(IdempotencyRow::record);
        if (record.isPresent() && record.get().phase() == IdempotencyPhase.ANSWERED) {
            return keptAnswers.replay(record.get().answer());
        }
        boolean started = record.map(r -> r.phase() == IdempotencyPhase.STARTED).orElse(false);
        return refused(
                started
                        ? ErrorResponse.unknown(
                                ErrorResponse.BAD_GATEWAY,
                                "the call was started, no answer yet",
                                PAUSE)
                        : ErrorResponse.notRun("the call has not run", PAUSE));
    }

    /**
     * Claims the call and dispatches it.
     *
     * @param request request
     * @param key key of the row
     * @param row row as read, or empty
     * @return answer to the caller, or empty if the row is to be read again
     * @throws InterruptedException if the thread is interrupted
     */
    private Optional<CallerResponse> claim(
            ParsedRequest request, String key, Optional<IdempotencyRow> row)
            throws InterruptedException {
        String token = UUID.randomUUID().toString();
        Instant now = clock.instant();
        IdempotencyRecord claim =
                IdempotencyRecord.claim(request.fingerprint(), token, self.value(), now);
        long revision = row.map(IdempotencyRow::revision).orElse(0L);
        WriteResult result = table.write(key, revision, claim, now.plus(WRITE_LIMIT));
        if (result == WriteResult.CONFLICT) {
            return Optional.empty();
        }
        if (result == WriteResult.UNKNOWN) {
            // Nothing was dispatched under this token, and nothing will be.
            return Optional.of(refused(tableAway("the claim could not be confirmed")));
        }
        ErrorResponse last = ErrorResponse.notRun("no host of the fleet can take the call", PAUSE);
        Set<HostId> tried = new HashSet<>();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            Optional<RouteCandidate> candidate = dispatcher.choose(request, Digest.NONE, tried);
            if (candidate.isEmpty()) {
                break;
            }
            tried.add(candidate.get().host());
            DispatchResult ending = attempt(request, candidate.get(), key, token);
            if (ending.answer() != null) {
                return Optional.of(ending.answer());
            }
            last = ending.refusal();
            if (!ending.elsewhere()) {
                break;
            }
        }
        return settle(request, key, claim, last);
    }

    /**
     * Makes one dispatch and sends a whole answer on.
     *
     * @param request request
     * @param candidate agent
     * @param key key of the row
     * @param token token of the claim
     * @return how it ended
     * @throws InterruptedException if the thread is interrupted
     */
    private DispatchResult attempt(
            ParsedRequest request, RouteCandidate candidate, String key, String token)
            throws InterruptedException {
        Attempt attempt = dispatcher.dispatchOnce(request, candidate, key, token);
        Instant limit = request.deadline().plus(Dispatcher.DEADLINE_GRACE);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        ResponseHead head = ResponseHead.getDefaultInstance();
        while (true) {
            Attempt.Result item = attempt.next(limit);
            if (item.timedOut()) {
                dispatcher.abandoned(attempt, true);
                return DispatchResult.of(
                        ErrorResponse.unknown(ErrorResponse.TIMEOUT, "the deadline passed", PAUSE),
                        false);
            }
            if (item.fault() != null) {
                dispatcher.abandoned(attempt, true);
                boolean unsent = item.fault().kind() == FaultKind.UNREACHABLE;
                String reason = item.fault().toString();
                ErrorResponse refusal =
                        unsent
                                ? ErrorResponse.notRun(reason, PAUSE)
                                : ErrorResponse.unknown(ErrorResponse.BAD_GATEWAY, reason, PAUSE);
                return DispatchResult.of(refusal, unsent);
            }
            if (item.message().hasResponseHead()) {
                head = item.message().getResponseHead();
            } else if (item.message().hasResponseData()) {
                item.message().getResponseData().getData().forEach(body::write);
            } else {
                ResponseEnd end = item.message().getResponseEnd();
                dispatcher.ended(attempt, end);
                if (end.getOutcome() == ResponseEnd.Outcome.ANSWERED) {
                    return DispatchResult.answered(
                            new CallerResponse.Complete(
                                    head.getStatus(),
                                    ResponseHeaders.of(candidate, head),
                                    body.toByteArray()));
                }
                return ending(candidate, end);
            }
        }
    }

    /**
     * Gives the claim back if nothing was started, and answers the caller by what the row shows.
     *
     * @param request request
     * @param key key of the row
     * @param claim claim under which the call was dispatched
     * @param last why there is no answer
     * @return answer to the caller, or empty if the row is to be read again
     */
    private Optional<CallerResponse> settle(
            ParsedRequest request, String key, IdempotencyRecord claim, ErrorResponse last) {
        Either<Fault, Optional<IdempotencyRow>> read = table.read(key);
        Optional<IdempotencyRow> row = read.getOrElse(Optional.empty());
        boolean ours = row.map(r -> r.record().token().equals(claim.token())).orElse(false);
        if (!ours) {
            return Optional.of(refused(last));
        }
        IdempotencyPhase phase = row.get().record().phase();
        if (phase == IdempotencyPhase.CLAIMED) {
            Instant now = clock.instant();
            IdempotencyRecord released =
                    claim.move(IdempotencyPhase.RELEASED, self.value(), now, null);
            WriteResult result =
                    table.write(key, row.get().revision(), released, now.plus(WRITE_LIMIT));
            if (result == WriteResult.CONFLICT) {
                return Optional.empty();
            }
            // Once the row is released no agent can start the call under this claim.
            boolean sure = result == WriteResult.WRITTEN;
            return Optional.of(
                    refused(sure ? ErrorResponse.notRun(last.reason(), last.retryAfter()) : last));
        }
        boolean mayYetAnswer = phase == IdempotencyPhase.STARTED && !last.decided();
        return phase == IdempotencyPhase.ANSWERED || mayYetAnswer
                ? Optional.empty()
                : Optional.of(refused(last));
    }

    /**
     * Makes the answer of a refusal.
     *
     * @param refusal refusal
     * @return answer
     */
    private static CallerResponse refused(ErrorResponse refusal) {
        return new CallerResponse.Failed(refusal);
    }

    /**
     * Makes the ending of an end message without an answer.
     *
     * @param candidate agent
     * @param end end message
     * @return how it ended
     */
    private static DispatchResult ending(RouteCandidate candidate, ResponseEnd end) {
        String reason = "host " + candidate.host() + ": " + end.getReason();
        Duration given = Duration.ofMillis(end.getRetryAfterMillis());
        Duration pause = given.isZero() ? PAUSE : given;
        if (end.getOutcome() == ResponseEnd.Outcome.NOT_RUN) {
            return DispatchResult.of(ErrorResponse.notRun(reason, pause), end.getTryElsewhere());
        }
        return DispatchResult.of(
                ErrorResponse.unknown(ErrorResponse.BAD_GATEWAY, reason, pause).asDecided(), false);
    }

    /**
     * Makes the refusal of a call that another attempt holds.
     *
     * @return refusal
     */
    private static ErrorResponse held() {
        return ErrorResponse.unknown(
                ErrorResponse.BAD_GATEWAY, "another attempt holds the call", PAUSE);
    }

    /**
     * Makes the refusal of a call while the table service is away.
     *
     * @param detail what happened
     * @return refusal
     */
    private static ErrorResponse tableAway(String detail) {
        return ErrorResponse.notRun(
                "the table service does not confirm the claim: " + detail, PAUSE);
    }

    /**
     * How one dispatch ended. Immutable.
     *
     * @param answer whole answer, or null
     * @param refusal why there is no answer, or null if there is one
     * @param elsewhere whether another host may be tried under the same claim
     */
    private record DispatchResult(CallerResponse answer, ErrorResponse refusal, boolean elsewhere) {

        /**
         * Creates the ending of a whole answer.
         *
         * @param answer answer
         * @return the ending
         */
        private static DispatchResult answered(CallerResponse answer) {
            return new DispatchResult(answer, null, false);
        }

        /**
         * Creates an ending without an answer.
         *
         * @param refusal why
         * @param elsewhere whether another host may be tried
         * @return the ending
         */
        private static DispatchResult of(ErrorResponse refusal, boolean elsewhere) {
            return new DispatchResult(null, refusal, elsewhere);
        }
    }
}
