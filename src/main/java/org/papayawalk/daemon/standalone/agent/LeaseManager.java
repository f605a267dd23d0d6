package org.papayawalk.daemon.standalone.agent;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.port.TableRow;
import org.papayawalk.core.port.TableService;
import org.papayawalk.core.port.TableWrite;

/**
 * Takes the lease under which a host's engine is given orders. Every lease has a higher fencing
 * number than the one before. Holds no state; safe from any thread.
 */
public final class LeaseManager {
    /** Name of the table. */
    public static final String TABLE = "lease";

    /** Time for which a lease holds. */
    private static final Duration TERM = Duration.ofSeconds(10);

    /** Table service. */
    private final TableService table;

    /** Name of the host, key of its row. */
    private final HostId host;

    /** Clock. */
    private final InstantSource clock;

    /**
     * Creates a keeper.
     *
     * @param table table service
     * @param host name of the host
     * @param clock clock
     */
    public LeaseManager(TableService table, HostId host, InstantSource clock) {
        this.table = table;
        this.host = host;
        this.clock = clock;
    }

    /**
     * Takes a lease. A write whose answer is lost is not used: the number may belong to nobody, and
     * the next attempt takes a higher one.
     *
     * @return the lease, or a fault
     */
    public Either<Fault, Lease> acquire() {
        Instant start = clock.instant();
        return table.read(TABLE, host.value())
                .flatMap(LeaseManager::number)
                .flatMap(
                        last -> {
                            long next = last.number() + 1;
                            TableWrite write =
                                    new TableWrite(
                                            TABLE, host.value(), last.revision(), Json.write(next));
                            return table.commit(List.of(write))
                                    .map(revision -> new Lease(next, start.plus(TERM)));
                        });
    }

    /**
     * Reads the last fencing number.
     *
     * @param row row of the host, or empty
     * @return number and revision, or a fault
     */
    private static Either<Fault, Held> number(Optional<TableRow> row) {
        if (row.isEmpty()) {
            return Either.right(new Held(0, TableWrite.ABSENT));
        }
        try {
            long number = Json.read(row.get().value(), Long.class);
            return Either.right(new Held(number, row.get().revision()));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-lease", "table", e));
        }
    }

    /**
     * Lease of a host. Immutable.
     *
     * @param fencingNumber number, higher than that of any earlier lease of the host
     * @param expiry when it lapses, by this process's clock
     */
    public record Lease(long fencingNumber, Instant expiry) {}

    /**
     * Last number given. Immutable.
     *
     * @param number number, 0 if none was given
     * @param revision revision of the row
     */
    private record Held(long number, long revision) {}
}
