package org.papayawalk.core.port;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.Fault;

/** Client of the platform's transactional table service. Implementations are thread-safe. */
public interface TableService {

    /**
     * Reads a row.
     *
     * @param table name of the table
     * @param key key of the row
     * @return the row, empty if it does not exist, or a fault
     */
    Either<Fault, Optional<TableRow>> read(String table, String key);

    /**
     * Reads rows in the order of their keys.
     *
     * @param table name of the table
     * @param afterKey key that the returned rows follow, empty to start at the first row
     * @param limit maximum number of rows to return
     * @return the rows in ascending order of their keys, or a fault
     */
    Either<Fault, List<TableRow>> scan(String table, String afterKey, int limit);

    /**
     * Commits a transaction. Either all writes take effect or none.
     *
     * @param writes writes with the revisions that they expect
     * @return revision of the written rows, or a fault: {@code CONFLICT} if a row has another
     *     revision than expected, {@code UNKNOWN_OUTCOME} if the writes may have taken effect
     */
    Either<Fault, Long> commit(List<TableWrite> writes);
}
