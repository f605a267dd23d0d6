package org.papayawalk.core.port;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.Fault;

/** Transactional table service of the platform. Implementations are safe from any thread. */
public interface TableService {

    /**
     * Reads a row.
     *
     * @param table name of the table
     * @param key key of the row
     * @return the row or empty, or a fault
     */
    Either<Fault, Optional<TableRow>> read(String table, String key);

    /**
     * Reads rows in the order of their keys.
     *
     * @param table name of the table
     * @param afterKey key to start behind, empty for the first
     * @param limit most rows to return
     * @return the rows, or a fault
     */
    Either<Fault, List<TableRow>> scan(String table, String afterKey, int limit);

    /**
     * Writes all or none of some rows.
     *
     * @param writes writes with the revisions that they depend on
     * @return revision of the new rows, or a fault: {@code CONFLICT} if a revision differs, {@code
     *     UNKNOWN_OUTCOME} if the writes may have taken effect
     */
    Either<Fault, Long> commit(List<TableWrite> writes);
}
