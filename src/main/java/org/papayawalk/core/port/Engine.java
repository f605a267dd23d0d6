package org.papayawalk.core.port;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.rollout.SwitchOrder;
import org.papayawalk.core.weight.Manifest;

/** Orders to a model engine. Implementations are safe from any thread. */
public interface Engine {

    /**
     * Reads the engine's report.
     *
     * @return the report, or a fault
     */
    Either<Fault, EngineStatus> status();

    /**
     * Begins staging a version beside the serving one, or goes on with it.
     *
     * @param digest digest of the manifest
     * @param manifest the manifest
     * @return the report after it, or a fault
     */
    Either<Fault, EngineStatus> beginStaging(Digest digest, Manifest manifest);

    /**
     * Writes a verified chunk to the staging area.
     *
     * @param digest digest of the manifest
     * @param offset place of the chunk in bytes
     * @param data bytes of the chunk
     * @return the length written in bytes, or a fault
     */
    Either<Fault, Integer> stageChunk(Digest digest, long offset, byte[] data);

    /**
     * Seals the staged version.
     *
     * @param digest digest of the manifest
     * @return digest that the engine computed over the whole weights, or a fault
     */
    Either<Fault, Digest> seal(Digest digest);

    /**
     * Changes the serving version.
     *
     * @param order the order
     * @return the report after it, or a fault
     */
    Either<Fault, EngineStatus> switchVersion(SwitchOrder order);
}
