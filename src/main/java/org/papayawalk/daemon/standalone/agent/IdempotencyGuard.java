package org.papayawalk.daemon.standalone.agent;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.papayawalk.core.Fault;
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
 * The agent's part of the at-most-once protocol: it forwards a call only after it has itself moved
 * the call's row to {@code STARTED}. Thread-safe.
 */
public final class IdempotencyGuard {
    /** Longest time to try a change of the row. */
    private static final Duration WRITE_LIMIT = Duration.ofSeconds(3);

    /** Longest time to try to keep an answer. */
    private static final Duration KEEP_LIMIT = Duration.ofSeconds(20);

    /** Largest body kept in the row, in bytes; larger ones go to the object store. */
    private static final int MAX_ROW_BODY_BYTES = 16 * 1024;

    /** Rows. */
    private final IdempotencyTable table;

    /** Object store for large answers. */
    private final ObjectStore objects;

    /** Name of this host. */
    private final HostId self;

    /** Clock. */
    private final InstantSource clock;

    /** Rules. */
    private final AtMostOnceRules rules = new AtMostOnceRules();

    /**
     * Creates a gate.
     *
     * @param table rows
     * @param objects object store for large answers
     * @param self name of this host
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
     * Moves a call's row to {@code STARTED}.
     *
     * @param key key of the row
     * @param token token that came with the request
     * @return the row as started, or empty if the call must not be forwarded
     */
    public Optional<IdempotencyRow> start(String key, String token) {
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
        WriteResult result = table.write(key, revision, started, now.plus(WRITE_LIMIT));
        if (result != WriteResult.WRITTEN) {
            return Optional.empty();
        }
        return table.read(key)
                .getOrElse(Optional.empty())
                .filter(r -> rules.isStartedBy(Optional.of(r.record()), token, self.value()));
    }

    /**
     * Keeps the answer of a call.
     *
     * @param key key of the row
     * @param started row as started
     * @param answer answer of the upstream
     * @return true if it is kept
     */
    public boolean keep(String key, IdempotencyRow started, StoredAnswer answer) {
        Optional<StoredAnswer> stored = stored(started.record().token(), answer);
        if (stored.isEmpty()) {
            return false;
        }
        return move(key, started, IdempotencyPhase.ANSWERED, stored.get(), KEEP_LIMIT);
    }

    /**
     * Gives a call back that was not forwarded.
     *
     * @param key key of the row
     * @param started row as started
     * @return true if it may be claimed again
     */
    public boolean release(String key, IdempotencyRow started) {
        return move(key, started, IdempotencyPhase.RELEASED, null, WRITE_LIMIT);
    }

    /**
     * Moves a started row on.
     *
     * @param key key of the row
     * @param started row as started
     * @param phase phase to move to
     * @param answer answer to keep, or null
     * @param limit longest time to try
     * @return true if the row was moved
     */
    private boolean move(
            String key,
            IdempotencyRow started,
            IdempotencyPhase phase,
            StoredAnswer answer,
            Duration limit) {
        Instant now = clock.instant();
        IdempotencyRecord next = started.record().withPhase(phase, self.value(), now, answer);
        WriteResult result = table.write(key, started.revision(), next, now.plus(limit));
        if (result != WriteResult.WRITTEN) {
            Event.named("once-move-failed")
                    .with("key", key)
                    .with("phase", phase)
                    .with("result", result)
                    .warn();
        }
        return result == WriteResult.WRITTEN;
    }

    /**
     * Puts a large body into the object store.
     *
     * @param token token of the attempt, which names the object
     * @param answer answer of the upstream
     * @return answer to put into the row, or empty if the store failed
     */
    private Optional<StoredAnswer> stored(String token, StoredAnswer answer) {
        if (answer.body().length <= MAX_ROW_BODY_BYTES) {
            return Optional.of(answer);
        }
        String name = "answer-" + token;
        return objects.put(name, answer.body())
                .peekLeft(f -> Event.named("answer-not-kept").with("fault", f).warn())
                .map(n -> new StoredAnswer(answer.status(), answer.contentType(), null, name))
                .toJavaOptional();
    }
}
