package org.papayawalk.daemon.managed.agent;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.daemon.managed.weight.WeightVersion;

/** What the operator wants of the engine. Thread-safe. */
interface TargetVersion {

    /**
     * Returns the version that the engine should serve.
     *
     * @return version, empty while it is not known
     */
    Optional<WeightVersion> version();

    /**
     * Returns the versions that were named.
     *
     * @return versions, the newest last
     */
    List<RequestedVersion> named();

    /**
     * Returns when a version may not answer any more, because a newer one was named.
     *
     * @param held number of the version
     * @return time, {@link Instant#MIN} if it may not answer now
     */
    Instant endOf(int held);
}
