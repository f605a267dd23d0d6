package org.papayawalk.core.port;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;

/** Client of the platform's object store. Implementations are thread-safe. */
public interface ObjectStore {

    /**
     * Stores an object. Each name is written only once.
     *
     * @param name unique name of the object
     * @param data content of the object
     * @return length of the object in bytes, or a fault
     */
    Either<Fault, Integer> put(String name, byte[] data);

    /**
     * Reads an object.
     *
     * @param name name of the object
     * @return content of the object, or a fault
     */
    Either<Fault, byte[]> get(String name);
}
