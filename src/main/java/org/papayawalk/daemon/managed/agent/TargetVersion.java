package org.papayawalk.daemon.managed.agent;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.daemon.managed.weight.WeightVersion;

/** Version of the weights that the engine is to serve. Thread-safe. */
interface TargetVersion {

    /**
     * Returns the version that the engine is to serve.
     *
     * @return version, empty while the platform state is not known
     */
    Optional<WeightVersion> version();

    /**
     * Returns the versions of the model that the operator requested.
     *
     * @return versions, the newest last; empty if none was requested or the model is not known
     */
    List<RequestedVersion> requestedVersions();

    /**
     * Returns until when a version may answer requests after a newer one was requested.
     *
     * @param number number of the version
     * @return end of validity; {@link Instant#MIN} if the newer version was requested before this
     *     daemon started, or if none is known
     */
    Instant validUntil(int number);
}
