package org.papayawalk.daemon.standalone;

import io.vavr.control.Either;
import org.papayawalk.adapter.standalone.ConfigCodec;
import org.papayawalk.adapter.standalone.ConfigTableSchema;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.config.Configuration;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.port.TableService;

/** Reads accepted configurations from the table service. Holds no state; safe from any thread. */
final class ConfigReader {
    /** Table service. */
    private final TableService table;

    /**
     * Creates a reader.
     *
     * @param table table service
     */
    ConfigReader(TableService table) {
        this.table = table;
    }

    /**
     * Reads the configuration if it is later than a known one.
     *
     * @param known version known
     * @return the accepted configuration, an empty one if none is later, or a fault
     */
    Either<Fault, Configuration> readLater(ConfigVersion known) {
        return table.read(ConfigTableSchema.CONFIG_TABLE, ConfigTableSchema.HEAD_KEY)
                .flatMap(
                        head -> {
                            if (head.isEmpty()) {
                                return Either.right(Configuration.EMPTY);
                            }
                            return ConfigTableSchema.readHead(head.get())
                                    .flatMap(
                                            version ->
                                                    version.isAfter(known)
                                                            ? readDocument(version)
                                                            : Either.right(Configuration.EMPTY));
                        });
    }

    /**
     * Reads the configuration of a version.
     *
     * @param version version to read
     * @return the configuration, or a fault
     */
    private Either<Fault, Configuration> readDocument(ConfigVersion version) {
        return table.read(ConfigTableSchema.CONFIG_TABLE, ConfigTableSchema.documentKey(version))
                .flatMap(
                        row ->
                                row.isPresent()
                                        ? ConfigCodec.read(row.get().value(), "table")
                                        : Either.left(
                                                new Fault(
                                                        FaultKind.CORRUPT,
                                                        "read-config",
                                                        "table",
                                                        "configuration version "
                                                                + version
                                                                + " has no row")));
    }
}
