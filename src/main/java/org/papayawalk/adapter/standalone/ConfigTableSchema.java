package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.io.IOException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.port.TableRow;

/** Table names, row keys and row formats of configurations. Stateless; thread-safe. */
public final class ConfigTableSchema {
    /** Name of the table of configurations. */
    public static final String CONFIG_TABLE = "config";

    /** Name of the table of the audit trail. */
    public static final String AUDIT_TABLE = "audit";

    /** Key of the row that holds the number of the accepted version. */
    public static final String HEAD_KEY = "head";

    /** Zero-padded, so that the order of the keys is the order of the versions. */
    private static final String VERSION_KEY_FORMAT = "%012d";

    private ConfigTableSchema() {}

    /**
     * Returns the key of the row that holds a version's configuration.
     *
     * @param version version
     * @return key in the table of configurations
     */
    public static String documentKey(ConfigVersion version) {
        return "version-" + auditKey(version);
    }

    /**
     * Returns the key of a version's audit row.
     *
     * @param version version
     * @return key in the table of the audit trail
     */
    public static String auditKey(ConfigVersion version) {
        return VERSION_KEY_FORMAT.formatted(version.number());
    }

    /**
     * Reads the accepted version from its row.
     *
     * @param row row with key {@link #HEAD_KEY}
     * @return version, or a fault of kind {@code CORRUPT}
     */
    public static Either<Fault, ConfigVersion> readHead(TableRow row) {
        try {
            return Either.right(Json.read(row.value(), ConfigVersion.class));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-config", "table", e));
        }
    }

    /**
     * Encodes the row that holds the accepted version.
     *
     * @param version accepted version
     * @return content of the row
     */
    public static byte[] writeHead(ConfigVersion version) {
        return Json.write(version);
    }
}
