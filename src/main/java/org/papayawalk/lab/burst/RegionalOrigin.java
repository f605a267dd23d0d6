package org.papayawalk.lab.burst;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.port.Origin;

/** Counts the origin's bytes that cross a link between regions. Thread-safe. */
final class RegionalOrigin implements Origin {
    /** Origin. */
    private final Origin inner;

    /** Region of the host. */
    private final RegionId region;

    /** Region of the origin. */
    private final RegionId home;

    /** Links between regions. */
    private final RegionLinks links;

    /**
     * Creates the view of a host.
     *
     * @param inner origin
     * @param region region of the host
     * @param home region of the origin
     * @param links links between regions
     */
    RegionalOrigin(Origin inner, RegionId region, RegionId home, RegionLinks links) {
        this.inner = inner;
        this.region = region;
        this.home = home;
        this.links = links;
    }

    @Override
    public Either<Fault, byte[]> manifest(Digest digest) {
        return inner.manifest(digest);
    }

    @Override
    public Either<Fault, byte[]> chunk(Digest digest, int index) {
        Either<Fault, byte[]> data = inner.chunk(digest, index);
        if (data.isRight() && !region.equals(home)) {
            links.between(home, region, data.get().length);
        }
        return data;
    }
}
