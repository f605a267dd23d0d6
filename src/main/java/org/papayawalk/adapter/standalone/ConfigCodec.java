package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.io.IOException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.config.Configuration;

/** Writes and reads configurations as JSON. Stateless; thread-safe. */
public final class ConfigCodec {

    private ConfigCodec() {}

    /**
     * Writes a configuration.
     *
     * @param configuration configuration to write
     * @return UTF-8 text
     */
    public static byte[] write(Configuration configuration) {
        return Json.write(configuration);
    }

    /**
     * Reads a configuration.
     *
     * @param data UTF-8 text of the JSON document
     * @param peer source of the text, used in faults
     * @return configuration, or a fault of kind {@code CORRUPT}
     */
    public static Either<Fault, Configuration> read(byte[] data, String peer) {
        try {
            return Either.right(Json.read(data, Configuration.class));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-config", peer, e));
        }
    }
}
