package org.papayawalk.core.port;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;

/** Object store of the platform. Implementations are safe from any thread. */
public interface ObjectStore {

    /**
     * Stores an object under a name that is written once.
     *
     * @param name name of the object
     * @param data content
     * @return the length stored in bytes, or a fault
     */
    Either<Fault, Integer> put(String name, byte[] data);

    /**
     * Reads an object.
     *
     * @param name name of the object
     * @return its content, or a fault
     */
    Either<Fault, byte[]> get(String name);
}
