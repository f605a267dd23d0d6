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
 * Reads and writes rows of non-idempotent calls in the table service. If the response to a write is
 * lost, the row is read back; if it is unchanged, the write is retried with the same content and
 * expected revision, so that it takes effect at most once. Thread-safe.
 */
public final class IdempotencyTable {
    private static final int MAX_WRITES = 4;

    private final TableService table;
    private final InstantSource clock;

    /**
     * Creates a client of the table.
     *
     * @param table table service that holds the rows
     * @param clock clock that deadlines are compared with
     */
    public IdempotencyTable(TableService table, InstantSource clock) {
        this.table = table;
        this.clock = clock;
    }

    /**
     * Reads the row of a call.
     *
     * @param key key of the row
     * @return the row, or empty if it does not exist; a fault if it cannot be read or decoded
     */
    public Either<Fault, Optional<IdempotencyRow>> read(String key) {
        return table.read(IdempotencyTableSchema.TABLE, key).flatMap(IdempotencyTable::decode);
    }

    /**
     * Writes a row by compare-and-set. Blocks until the result is known or retries are used up.
     *
     * @param key key of the row
     * @param expectedRevision revision that the row must have, or 0 if it must not exist
     * @param record new content, identified in the table by its token, phase, holder and time
     * @param deadline time after which the write is not retried
     * @return result of the write
     */
    public WriteResult write(
            String key, long expectedRevision, IdempotencyRecord record, Instant deadline) {
        List<TableWrite> writes =
                List.of(
                        new TableWrite(
                                IdempotencyTableSchema.TABLE,
                                key,
                                expectedRevision,
                                Json.write(record)));
        for (int attempt = 0; attempt < MAX_WRITES; attempt++) {
            Either<Fault, Long> result = table.commit(writes);
            if (result.isRight()) {
                return WriteResult.WRITTEN;
            }
            // On a retry, the conflict may be with an earlier attempt of this same write.
            boolean first = attempt == 0;
            if (first && result.getLeft().kind() == FaultKind.CONFLICT) {
                return WriteResult.CONFLICT;
            }
            Either<Fault, Optional<IdempotencyRow>> current = read(key);
            if (current.isRight()
                    && current.get().map(r -> isSameWrite(r.record(), record)).orElse(false)) {
                return WriteResult.WRITTEN;
            }
            long revision =
                    current.isRight() ? current.get().map(IdempotencyRow::revision).orElse(0L) : -1;
            if (current.isRight() && revision != expectedRevision) {
                return WriteResult.CONFLICT;
            }
            if (!clock.instant().isBefore(deadline)) {
                break;
            }
        }
        return WriteResult.UNKNOWN;
    }

    private static boolean isSameWrite(IdempotencyRecord a, IdempotencyRecord b) {
        return a.token().equals(b.token())
                && a.phase() == b.phase()
                && a.holder().equals(b.holder())
                && a.writtenAt().equals(b.writtenAt());
    }

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
