package org.papayawalk.daemon.entry;

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
import org.papayawalk.adapter.OnceTables;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.idempotency.AtMostOnceRules;
import org.papayawalk.core.idempotency.IdempotencyPhase;
import org.papayawalk.core.idempotency.IdempotencyRecord;
import org.papayawalk.core.route.RouteCandidate;
import org.papayawalk.daemon.once.OnceRow;
import org.papayawalk.daemon.once.OnceTable;
import org.papayawalk.daemon.once.WriteResult;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.ResponseHead;

/**
 * Serves non-idempotent calls by the at-most-once protocol: claim the row, dispatch under the
 * claim's token, and after a loss let the row decide what is said. Thread-safe.
 */
final class OnceCalls {
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
    private final OnceTable table;

    /** Answers kept for replay. */
    private final KeptAnswers keptAnswers;

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
    OnceCalls(
            Dispatcher dispatcher,
            OnceTable table,
            KeptAnswers keptAnswers,
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
    CallerAnswer serve(CallRequest request) throws InterruptedException {
        String key = OnceTables.key(request.team().value(), request.idempotencyKey());
        Optional<OnceRow> row = Optional.empty();
        boolean contended = false;
        Instant patience = clock.instant().plus(CONTENTION_LIMIT);
        while (clock.instant().isBefore(request.deadline())) {
            Instant now = clock.instant();
            Optional<IdempotencyRecord> record = row.map(OnceRow::record);
            switch (rules.decide(record, request.fingerprint(), now)) {
                case MISMATCH -> {
                    String reason = "the idempotency key stands for another request";
                    return refused(Refusal.wrong(MISMATCH, reason));
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
                    Optional<CallerAnswer> answer = claim(request, key, row);
                    if (answer.isPresent()) {
                        return answer.get();
                    }
                }
            }
            Either<Fault, Optional<OnceRow>> read = table.read(key);
            if (read.isLeft() && !contended) {
                return refused(tableAway(read.getLeft().toString()));
            }
            row = read.getOrElse(row);
        }
        return refused(
                contended
                        ? held()
                        : Refusal.notRun("the deadline passed before it was dispatched", PAUSE));
    }

    /**
     * Looks up what became of a call.
     *
     * @param key key of the row
     * @return answer to the caller
     */
    CallerAnswer outcome(String key) {
        Either<Fault, Optional<OnceRow>> read = table.read(key);
        if (read.isLeft()) {
            String reason = "the table service is away: " + read.getLeft();
            return refused(Refusal.unknown(Refusal.UNAVAILABLE, reason, PAUSE));
        }
        Optional<IdempotencyRecord> record = read.get().map(OnceRow::record);
        if (record.isPresent() && record.get().phase() == IdempotencyPhase.ANSWERED) {
            return keptAnswers.replay(record.get().answer());
        }
        boolean started = record.map(r -> r.phase() == IdempotencyPhase.STARTED).orElse(false);
        return refused(
                started
                        ? Refusal.unknown(
                                Refusal.BAD_GATEWAY, "the call was started, no answer yet", PAUSE)
                        : Refusal.notRun("the call has not run", PAUSE));
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
    private Optional<CallerAnswer> claim(CallRequest request, String key, Optional<OnceRow> row)
            throws InterruptedException {
        String token = UUID.randomUUID().toString();
        Instant now = clock.instant();
        IdempotencyRecord claim =
                IdempotencyRecord.claim(request.fingerprint(), token, self.value(), now);
        long revision = row.map(OnceRow::revision).orElse(0L);
        WriteResult result = table.write(key, revision, claim, now.plus(WRITE_LIMIT));
        if (result == WriteResult.CONFLICT) {
            return Optional.empty();
        }
        if (result == WriteResult.UNKNOWN) {
            // Nothing was dispatched under this token, and nothing will be.
            return Optional.of(refused(tableAway("the claim could not be confirmed")));
        }
        Refusal last = Refusal.notRun("no host of the fleet can take the call", PAUSE);
        Set<HostId> tried = new HashSet<>();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            Optional<RouteCandidate> candidate = dispatcher.choose(request, Digest.NONE, tried);
            if (candidate.isEmpty()) {
                break;
            }
            tried.add(candidate.get().host());
            Ending ending = attempt(request, candidate.get(), key, token);
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
    private Ending attempt(CallRequest request, RouteCandidate candidate, String key, String token)
            throws InterruptedException {
        Attempt attempt = dispatcher.dispatchOnce(request, candidate, key, token);
        Instant limit = request.deadline().plus(Dispatcher.DEADLINE_GRACE);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        ResponseHead head = ResponseHead.getDefaultInstance();
        while (true) {
            Attempt.Item item = attempt.next(limit);
            if (item.timedOut()) {
                dispatcher.abandoned(attempt, true);
                return Ending.of(
                        Refusal.unknown(Refusal.TIMEOUT, "the deadline passed", PAUSE), false);
            }
            if (item.fault() != null) {
                dispatcher.abandoned(attempt, true);
                boolean unsent = item.fault().kind() == FaultKind.UNREACHABLE;
                String reason = item.fault().toString();
                Refusal refusal =
                        unsent
                                ? Refusal.notRun(reason, PAUSE)
                                : Refusal.unknown(Refusal.BAD_GATEWAY, reason, PAUSE);
                return Ending.of(refusal, unsent);
            }
            if (item.message().hasResponseHead()) {
                head = item.message().getResponseHead();
            } else if (item.message().hasResponseData()) {
                item.message().getResponseData().getData().forEach(body::write);
            } else {
                ResponseEnd end = item.message().getResponseEnd();
                dispatcher.ended(attempt, end);
                if (end.getOutcome() == ResponseEnd.Outcome.ANSWERED) {
                    return Ending.answered(
                            new CallerAnswer.Whole(
                                    head.getStatus(),
                                    AnswerHeaders.of(candidate, head),
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
    private Optional<CallerAnswer> settle(
            CallRequest request, String key, IdempotencyRecord claim, Refusal last) {
        Either<Fault, Optional<OnceRow>> read = table.read(key);
        Optional<OnceRow> row = read.getOrElse(Optional.empty());
        boolean ours = row.map(r -> r.record().token().equals(claim.token())).orElse(false);
        if (!ours) {
            return Optional.of(refused(last));
        }
        IdempotencyPhase phase = row.get().record().phase();
        if (phase == IdempotencyPhase.CLAIMED) {
            Instant now = clock.instant();
            IdempotencyRecord released =
                    claim.withPhase(IdempotencyPhase.RELEASED, self.value(), now, null);
            WriteResult result =
                    table.write(key, row.get().revision(), released, now.plus(WRITE_LIMIT));
            if (result == WriteResult.CONFLICT) {
                return Optional.empty();
            }
            // Once the row is released no agent can start the call under this claim.
            boolean sure = result == WriteResult.WRITTEN;
            return Optional.of(
                    refused(sure ? Refusal.notRun(last.reason(), last.retryAfter()) : last));
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
    private static CallerAnswer refused(Refusal refusal) {
        return new CallerAnswer.Refused(refusal);
    }

    /**
     * Makes the ending of an end message without an answer.
     *
     * @param candidate agent
     * @param end end message
     * @return how it ended
     */
    private static Ending ending(RouteCandidate candidate, ResponseEnd end) {
        String reason = "host " + candidate.host() + ": " + end.getReason();
        Duration given = Duration.ofMillis(end.getRetryAfterMillis());
        Duration pause = given.isZero() ? PAUSE : given;
        if (end.getOutcome() == ResponseEnd.Outcome.NOT_RUN) {
            return Ending.of(Refusal.notRun(reason, pause), end.getTryElsewhere());
        }
        return Ending.of(Refusal.unknown(Refusal.BAD_GATEWAY, reason, pause).asDecided(), false);
    }

    /**
     * Makes the refusal of a call that another attempt holds.
     *
     * @return refusal
     */
    private static Refusal held() {
        return Refusal.unknown(Refusal.BAD_GATEWAY, "another attempt holds the call", PAUSE);
    }

    /**
     * Makes the refusal of a call while the table service is away.
     *
     * @param detail what happened
     * @return refusal
     */
    private static Refusal tableAway(String detail) {
        return Refusal.notRun("the table service does not confirm the claim: " + detail, PAUSE);
    }

    /**
     * How one dispatch ended. Immutable.
     *
     * @param answer whole answer, or null
     * @param refusal why there is no answer, or null if there is one
     * @param elsewhere whether another host may be tried under the same claim
     */
    private record Ending(CallerAnswer answer, Refusal refusal, boolean elsewhere) {

        /**
         * Creates the ending of a whole answer.
         *
         * @param answer answer
         * @return the ending
         */
        private static Ending answered(CallerAnswer answer) {
            return new Ending(answer, null, false);
        }

        /**
         * Creates an ending without an answer.
         *
         * @param refusal why
         * @param elsewhere whether another host may be tried
         * @return the ending
         */
        private static Ending of(Refusal refusal, boolean elsewhere) {
            return new Ending(null, refusal, elsewhere);
        }
    }
}
