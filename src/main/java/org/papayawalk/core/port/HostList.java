package org.papayawalk.core.port;

import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.member.HostRecord;

/** Host list of the platform, which lags. Implementations are safe from any thread. */
public interface HostList {

    /**
     * Reads the list.
     *
     * @return the hosts listed now, or a fault
     */
    Either<Fault, List<HostRecord>> read();
}
