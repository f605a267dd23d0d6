package org.papayawalk.daemon.standalone.agent;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.idempotency.AtMostOnceRules;
import org.papayawalk.core.idempotency.IdempotencyPhase;
import org.papayawalk.core.idempotency.IdempotencyRecord;
import org.papayawalk.core.idempotency.StoredAnswer;
import org.papayawalk.core.port.ObjectStore;
import org.papayawalk.daemon.standalone.idempotency.IdempotencyRow;
import org.papayawalk.daemon.standalone.idempotency.IdempotencyTable;
import org.papayawalk.daemon.standalone.idempotency.WriteResult;
import org.papayawalk.log.Event;

/**
 * Agent's part of the at-most-once protocol: a non-idempotent call may be forwarded only after this
 * agent has moved the call's row to {@code STARTED}.
 *
 * <p>Thread-safe.
 */
public final class IdempotencyGuard {
    /** Time after which a change of a row is not retried. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(3);

    /** Time after which the write of a response is not retried. */
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(20);

    /** Maximum length in bytes of a body stored in the row; longer ones go to the object store. */
    private static final int MAX_INLINE_BODY_BYTES = 16 * 1024;

    private final IdempotencyTable table;

    private final ObjectStore objects;

    private final HostId self;

    private final InstantSource clock;

    private final AtMostOnceRules rules = new AtMostOnceRules();

    /**
     * Creates a guard.
     *
     * @param table table of non-idempotent calls
     * @param objects object store for large responses
     * @param self this host, which is recorded as the holder
     * @param clock clock
     */
    public IdempotencyGuard(
            IdempotencyTable table, ObjectStore objects, HostId self, InstantSource clock) {
        this.table = table;
        this.objects = objects;
        this.self = self;
        this.clock = clock;
    }

    /**
     * Moves the row of a call to {@code STARTED}, and reads it back for its revision.
     *
     * @param key idempotency key of the call
     * @param token token of the attempt, as received with the request
     * @return row in phase {@code STARTED}, or empty if the call must not be forwarded
     */
    public Optional<IdempotencyRow> markStarted(String key, String token) {
        Either<Fault, Optional<IdempotencyRow>> row = table.read(key);
        Optional<IdempotencyRecord> record =
                row.getOrElse(Optional.empty()).map(IdempotencyRow::record);
        if (!rules.mayStart(record, token)) {
            return Optional.empty();
        }
        Instant now = clock.instant();
        IdempotencyRecord started =
                record.get().withPhase(IdempotencyPhase.STARTED, self.value(), now, null);
        long revision = row.get().get().revision();
        WriteResult result = table.write(key, revision, started, now.plus(WRITE_TIMEOUT));
        if (result != WriteResult.WRITTEN) {
            return Optional.empty();
        }
        return table.read(key)
                .getOrElse(Optional.empty())
                .filter(r -> rules.isStartedBy(Optional.of(r.record()), token, self.value()));
    }

    /**
     * Stores the response of a call.
     *
     * @param key idempotency key of the call
     * @param started row returned by {@link #markStarted}
     * @param answer response of the upstream
     * @return true if the response is stored
     */
    public boolean storeAnswer(String key, IdempotencyRow started, StoredAnswer answer) {
        Optional<StoredAnswer> stored = offloadLargeBody(started.record().token(), answer);
        if (stored.isEmpty()) {
            return false;
        }
        return transition(key, started, IdempotencyPhase.ANSWERED, stored.get(), STORE_TIMEOUT);
    }

    /**
     * Releases a call that was not forwarded.
     *
     * @param key idempotency key of the call
     * @param started row returned by {@link #markStarted}
     * @return true if another attempt may claim the call
     */
    public boolean release(String key, IdempotencyRow started) {
        return transition(key, started, IdempotencyPhase.RELEASED, null, WRITE_TIMEOUT);
    }

    private boolean transition(
            String key,
            IdempotencyRow started,
            IdempotencyPhase phase,
            StoredAnswer answer,
            Duration timeout) {
        Instant now = clock.instant();
        IdempotencyRecord next = started.record().withPhase(phase, self.value(), now, answer);
        WriteResult result = table.write(key, started.revision(), next, now.plus(timeout));
        if (result != WriteResult.WRITTEN) {
            Event.named("once-move-failed")
                    .with("key", key)
                    .with("phase", phase)
                    .with("result", result)
                    .warn();
        }
        return result == WriteResult.WRITTEN;
    }

    // Returns the answer for the row, with a large body moved to an object named by the token of
    // the attempt. Empty if the object store fails.
    private Optional<StoredAnswer> offloadLargeBody(String token, StoredAnswer answer) {
        if (answer.body().length <= MAX_INLINE_BODY_BYTES) {
            return Optional.of(answer);
        }
        String name = "answer-" + token;
        return objects.put(name, answer.body())
                .peekLeft(f -> Event.named("answer-not-kept").with("fault", f).warn())
                .map(n -> inObject(answer, name))
                .toJavaOptional();
    }

    private static StoredAnswer inObject(StoredAnswer answer, String name) {
        Digest digest = Digest.of(answer.body());
        return new StoredAnswer(answer.status(), answer.contentType(), null, name, digest);
    }
}
