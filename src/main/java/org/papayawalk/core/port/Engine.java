package org.papayawalk.core.port;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.rollout.SwitchCommand;
import org.papayawalk.core.weight.Manifest;

/**
 * Client of a model engine. All methods block until the engine answers. Implementations are
 * thread-safe.
 */
public interface Engine {

    /**
     * Returns the status of the engine.
     *
     * @return status, or a fault
     */
    Either<Fault, EngineStatus> status();

    /**
     * Begins to stage a version while the engine serves another one. If the version is already
     * being staged, the staged data is kept.
     *
     * @param digest digest of the manifest
     * @param manifest manifest of the version
     * @return status after the call, or a fault
     */
    Either<Fault, EngineStatus> beginStaging(Digest digest, Manifest manifest);

    /**
     * Writes a verified chunk to the staging area.
     *
     * @param digest digest of the manifest
     * @param offset offset of the chunk in the weights, in bytes
     * @param data content of the chunk
     * @return number of bytes written, or a fault
     */
    Either<Fault, Integer> stageChunk(Digest digest, long offset, byte[] data);

    /**
     * Seals the staged version, after which the engine can switch to it.
     *
     * @param digest digest of the manifest
     * @return digest that the engine computed over all staged weights, or a fault
     */
    Either<Fault, Digest> seal(Digest digest);

    /**
     * Switches the engine to another version.
     *
     * @param command expected version, target version and fencing number
     * @return status after the switch, or a fault
     */
    Either<Fault, EngineStatus> switchVersion(SwitchCommand command);
}
