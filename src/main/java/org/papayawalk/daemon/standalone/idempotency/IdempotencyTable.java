package org.papayawalk.daemon.standalone.idempotency;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.papayawalk.adapter.standalone.IdempotencyTableSchema;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.idempotency.IdempotencyRecord;
import org.papayawalk.core.port.TableRow;
import org.papayawalk.core.port.TableService;
import org.papayawalk.core.port.TableWrite;

/**
 * Reads and changes rows of non-idempotent calls. A write whose answer is lost is resolved by
 * reading the row back, and repeated with the same content and revision if the row is unchanged, so
 * that it takes effect at most once. Thread-safe.
 */
public final class IdempotencyTable {
    /** Writes of one change that are tried at most. */
    private static final int MAX_ATTEMPTS = 4;

    /** Table service. */
    private final TableService table;

    /** Clock. */
    private final InstantSource clock;

    /**
     * Creates a client.
     *
     * @param table table service
     * @param clock clock
     */
    public IdempotencyTable(TableService table, InstantSource clock) {
        this.table = table;
        this.clock = clock;
    }

    /**
     * Reads a row.
     *
     * @param key key of the row
     * @return the row or empty, or a fault
     */
    public Either<Fault, Optional<IdempotencyRow>> read(String key) {
        return table.read(IdempotencyTableSchema.TABLE, key).flatMap(IdempotencyTable::decode);
    }

    /**
     * Changes a row by compare-and-set.
     *
     * @param key key of the row
     * @param expectedRevision revision that the row must have, 0 if it must not exist
     * @param record new content, whose token, phase, holder and time make it recognizable
     * @param giveUpAt time after which no further attempt is made
     * @return how the change ended
     */
    public WriteResult write(
            String key, long expectedRevision, IdempotencyRecord record, Instant giveUpAt) {
        List<TableWrite> writes =
                List.of(
                        new TableWrite(
                                IdempotencyTableSchema.TABLE,
                                key,
                                expectedRevision,
                                Json.write(record)));
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Either<Fault, Long> result = table.commit(writes);
            if (result.isRight()) {
                return WriteResult.WRITTEN;
            }
            boolean first = attempt == 0;
            if (first && result.getLeft().kind() == FaultKind.CONFLICT) {
                return WriteResult.CONFLICT;
            }
            Either<Fault, Optional<IdempotencyRow>> now = read(key);
            if (now.isRight() && now.get().map(r -> same(r.record(), record)).orElse(false)) {
                return WriteResult.WRITTEN;
            }
            long revision = now.isRight() ? now.get().map(IdempotencyRow::revision).orElse(0L) : -1;
            if (now.isRight() && revision != expectedRevision) {
                return WriteResult.CONFLICT;
            }
            if (!clock.instant().isBefore(giveUpAt)) {
                break;
            }
        }
        return WriteResult.UNKNOWN;
    }

    /**
     * Tells whether a row is the one that was written.
     *
     * @param a row read
     * @param b row written
     * @return true if token, phase, holder and time are equal
     */
    private static boolean same(IdempotencyRecord a, IdempotencyRecord b) {
        return a.token().equals(b.token())
                && a.phase() == b.phase()
                && a.holder().equals(b.holder())
                && a.writtenAt().equals(b.writtenAt());
    }

    /**
     * Reads the content of a row.
     *
     * @param row row or empty
     * @return the call's row or empty, or a fault
     */
    private static Either<Fault, Optional<IdempotencyRow>> decode(Optional<TableRow> row) {
        if (row.isEmpty()) {
            return Either.right(Optional.empty());
        }
        try {
            IdempotencyRecord record = Json.read(row.get().value(), IdempotencyRecord.class);
            return Either.right(Optional.of(new IdempotencyRow(record, row.get().revision())));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-once", "table", e));
        }
    }
}
