package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.io.IOException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.port.TableRow;

/** Names and forms of the configuration's rows. Holds no state; safe from any thread. */
public final class ConfigTableSchema {
    /** Table of configurations. */
    public static final String CONFIG_TABLE = "config";

    /** Table of the audit trail. */
    public static final String AUDIT_TABLE = "audit";

    /** Key of the row that names the accepted version. */
    public static final String HEAD_KEY = "head";

    /** Form of keys, so that their order is that of the versions. */
    private static final String VERSION_KEY_FORMAT = "%012d";

    /** Prevents instances. */
    private ConfigTableSchema() {}

    /**
     * Returns the key of a version's document.
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
     * Reads the row that names the accepted version.
     *
     * @param row row with key {@link #HEAD_KEY}
     * @return the version, or a fault
     */
    public static Either<Fault, ConfigVersion> readHead(TableRow row) {
        try {
            return Either.right(Json.read(row.value(), ConfigVersion.class));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-config", "table", e));
        }
    }

    /**
     * Writes the row that names the accepted version.
     *
     * @param version version
     * @return content of the row
     */
    public static byte[] writeHead(ConfigVersion version) {
        return Json.write(version);
    }
}
