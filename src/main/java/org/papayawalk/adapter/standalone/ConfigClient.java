package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.config.Configuration;
import org.papayawalk.core.config.FleetChange;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.port.TableRow;
import org.papayawalk.core.port.TableService;
import org.papayawalk.core.port.TableWrite;

/**
 * Reads and changes the accepted configuration. A change and its audit row are written in one
 * transaction, which succeeds only if the accepted version is still the one that the operator read.
 * Immutable; safe from any thread if the table service is.
 */
public final class ConfigClient {
    /** Reads made to find the outcome of a write whose response was lost. */
    private static final int READ_BACK_ATTEMPTS = 5;

    /** Maximum number of audit rows read. */
    private static final int MAX_AUDIT_ROWS = 1000;

    private final TableService table;

    /**
     * Creates a client.
     *
     * @param table table service that stores the configurations
     */
    public ConfigClient(TableService table) {
        this.table = table;
    }

    /**
     * Reads the accepted configuration.
     *
     * @return configuration, empty if none was ever accepted, or a fault
     */
    public Either<Fault, Accepted> read() {
        return table.read(ConfigTableSchema.CONFIG_TABLE, ConfigTableSchema.HEAD_KEY)
                .flatMap(
                        head -> {
                            if (head.isEmpty()) {
                                return Either.right(
                                        new Accepted(Configuration.EMPTY, TableWrite.ABSENT));
                            }
                            return ConfigTableSchema.readHead(head.get())
                                    .flatMap(this::readVersion)
                                    .map(c -> new Accepted(c, head.get().revision()));
                        });
    }

    /**
     * Reads the configuration of one version.
     *
     * @param version version
     * @return configuration, or a fault, of kind {@code REFUSED} if the version does not exist
     */
    public Either<Fault, Configuration> readVersion(ConfigVersion version) {
        return table.read(ConfigTableSchema.CONFIG_TABLE, ConfigTableSchema.documentKey(version))
                .flatMap(
                        row ->
                                row.map(r -> ConfigCodec.read(r.value(), "table"))
                                        .orElseGet(() -> Either.left(versionNotFound(version))));
    }

    /**
     * Writes the next configuration, if the base is still the accepted one.
     *
     * @param base configuration on which the change is based
     * @param next configuration to accept
     * @param operator name of the operator
     * @param now time of the change
     * @return outcome
     */
    public ApplyResult write(Accepted base, Configuration next, String operator, Instant now) {
        List<FleetChange> changes = FleetChange.between(base.configuration().rows(), next.rows());
        AuditEntry audit =
                new AuditEntry(
                        next.version(),
                        base.configuration().version(),
                        next.changeId(),
                        operator,
                        now,
                        changes);
        List<TableWrite> writes =
                List.of(
                        new TableWrite(
                                ConfigTableSchema.CONFIG_TABLE,
                                ConfigTableSchema.HEAD_KEY,
                                base.headRevision(),
                                ConfigTableSchema.writeHead(next.version())),
                        new TableWrite(
                                ConfigTableSchema.CONFIG_TABLE,
                                ConfigTableSchema.documentKey(next.version()),
                                TableWrite.ABSENT,
                                ConfigCodec.write(next)),
                        new TableWrite(
                                ConfigTableSchema.AUDIT_TABLE,
                                ConfigTableSchema.auditKey(next.version()),
                                TableWrite.ABSENT,
                                Json.write(audit)));
        Either<Fault, Long> result = table.commit(writes);
        if (result.isRight()) {
            return ApplyResult.ACCEPTED;
        }
        return switch (result.getLeft().kind()) {
            case CONFLICT -> ApplyResult.CONFLICT;
            case UNKNOWN_OUTCOME -> resolveUnknownOutcome(next);
            default -> ApplyResult.REFUSED;
        };
    }

    /**
     * Reads the audit trail.
     *
     * @return entries, oldest first, or a fault
     */
    public Either<Fault, List<AuditEntry>> audit() {
        return table.scan(ConfigTableSchema.AUDIT_TABLE, "", MAX_AUDIT_ROWS)
                .flatMap(
                        rows -> {
                            try {
                                List<AuditEntry> entries = new ArrayList<>();
                                for (TableRow r : rows) {
                                    entries.add(Json.read(r.value(), AuditEntry.class));
                                }
                                return Either.right(entries);
                            } catch (IOException e) {
                                return Either.left(
                                        Fault.of(FaultKind.CORRUPT, "read-audit", "table", e));
                            }
                        });
    }

    // Finds the outcome of a write whose response was lost, by the change id in the version's row.
    private ApplyResult resolveUnknownOutcome(Configuration next) {
        for (int i = 0; i < READ_BACK_ATTEMPTS; i++) {
            Either<Fault, Optional<TableRow>> row =
                    table.read(
                            ConfigTableSchema.CONFIG_TABLE,
                            ConfigTableSchema.documentKey(next.version()));
            if (row.isRight() && row.get().isPresent()) {
                boolean ours =
                        ConfigCodec.read(row.get().get().value(), "table")
                                .map(c -> c.changeId().equals(next.changeId()))
                                .getOrElse(false);
                return ours ? ApplyResult.ACCEPTED : ApplyResult.CONFLICT;
            }
        }
        return ApplyResult.UNKNOWN;
    }

    private static Fault versionNotFound(ConfigVersion version) {
        String reason = "configuration version " + version + " does not exist";
        return new Fault(FaultKind.REFUSED, "read-config", "table", reason);
    }

    /**
     * Accepted configuration. Immutable.
     *
     * @param configuration configuration
     * @param headRevision revision of the row that holds its version, 0 if there is none; a change
     *     is written only if the row still has this revision
     */
    public record Accepted(Configuration configuration, long headRevision) {}
}
