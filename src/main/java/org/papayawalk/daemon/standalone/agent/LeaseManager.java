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
 * Acquires the lease that is required to send switch commands to the engine of a host. Each lease
 * has a higher fencing number than every earlier lease of the host.
 *
 * <p>Holds no state; thread-safe.
 */
public final class LeaseManager {
    /** Name of the table of leases, with one row for each host. */
    public static final String TABLE = "lease";

    /** Time from the start of the acquisition until the lease expires. */
    private static final Duration LEASE_DURATION = Duration.ofSeconds(10);

    private final TableService table;

    private final HostId hostId;

    private final InstantSource clock;

    /**
     * Creates a manager.
     *
     * @param table table service
     * @param hostId host of the engine, key of its row
     * @param clock clock
     */
    public LeaseManager(TableService table, HostId hostId, InstantSource clock) {
        this.table = table;
        this.hostId = hostId;
        this.clock = clock;
    }

    /**
     * Acquires a lease. If the response to the write is lost, the lease is not used: its number may
     * not have been assigned, and the next attempt takes a higher one.
     *
     * @return the lease, or a fault
     */
    public Either<Fault, Lease> acquire() {
        Instant start = clock.instant();
        return table.read(TABLE, hostId.value())
                .flatMap(LeaseManager::decode)
                .flatMap(
                        last -> {
                            long next = last.lastNumber() + 1;
                            TableWrite write =
                                    new TableWrite(
                                            TABLE,
                                            hostId.value(),
                                            last.revision(),
                                            Json.write(next));
                            return table.commit(List.of(write))
                                    .map(revision -> new Lease(next, start.plus(LEASE_DURATION)));
                        });
    }

    // Reads the last fencing number from the row, 0 if there is no row.
    private static Either<Fault, FencingRow> decode(Optional<TableRow> row) {
        if (row.isEmpty()) {
            return Either.right(new FencingRow(0, TableWrite.ABSENT));
        }
        try {
            long number = Json.read(row.get().value(), Long.class);
            return Either.right(new FencingRow(number, row.get().revision()));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-lease", "table", e));
        }
    }

    /**
     * Lease of a host. Immutable.
     *
     * @param fencingNumber fencing number, higher than that of every earlier lease of the host
     * @param expiry when the lease expires, by the clock of this process
     */
    public record Lease(long fencingNumber, Instant expiry) {}

    /**
     * Row of a host. Immutable.
     *
     * @param lastNumber last fencing number assigned, 0 if none was
     * @param revision revision of the row for compare-and-set
     */
    private record FencingRow(long lastNumber, long revision) {}
}
