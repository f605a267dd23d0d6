package org.papayawalk.core.port;

import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.member.HostRecord;

/**
 * Client of the platform's host list, which may lag behind the actual set of hosts. Implementations
 * are thread-safe.
 */
public interface HostList {

    /**
     * Reads the present host list.
     *
     * @return the listed hosts, or a fault
     */
    Either<Fault, List<HostRecord>> read();
}
