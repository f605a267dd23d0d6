package org.papayawalk.daemon.standalone;

import io.vavr.control.Either;
import org.papayawalk.adapter.standalone.ConfigCodec;
import org.papayawalk.adapter.standalone.ConfigTableSchema;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.config.Configuration;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.port.TableService;

/** Reads accepted configurations from the table service, blocking. Stateless and thread-safe. */
final class ConfigReader {
    private final TableService table;

    /**
     * Creates a reader.
     *
     * @param table client of the table service
     */
    ConfigReader(TableService table) {
        this.table = table;
    }

    /**
     * Reads the latest accepted configuration if its version is higher than a known one.
     *
     * @param known known version
     * @return the accepted configuration, {@link Configuration#EMPTY} if it is not newer than the
     *     known one or none was accepted yet, or a fault
     */
    Either<Fault, Configuration> readIfNewer(ConfigVersion known) {
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
                                                        "the accepted configuration version "
                                                                + version
                                                                + " has no row in table "
                                                                + ConfigTableSchema.CONFIG_TABLE)));
    }
}
