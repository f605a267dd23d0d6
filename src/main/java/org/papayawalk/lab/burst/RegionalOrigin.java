package org.papayawalk.lab.burst;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.port.Origin;

/**
 * Origin as seen from the region of a host. Counts the chunk bytes that cross a link between
 * regions. Thread-safe.
 */
final class RegionalOrigin implements Origin {
    private final Origin delegate;

    private final RegionId hostRegion;

    private final RegionId originRegion;

    private final RegionLinks links;

    /**
     * Creates the view of a host.
     *
     * @param delegate origin
     * @param hostRegion region of the host
     * @param originRegion region of the origin
     * @param links links between regions
     */
    RegionalOrigin(Origin delegate, RegionId hostRegion, RegionId originRegion, RegionLinks links) {
        this.delegate = delegate;
        this.hostRegion = hostRegion;
        this.originRegion = originRegion;
        this.links = links;
    }

    @Override
    public Either<Fault, byte[]> manifest(Digest digest) {
        return delegate.manifest(digest);
    }

    @Override
    public Either<Fault, byte[]> chunk(Digest digest, int index) {
        Either<Fault, byte[]> data = delegate.chunk(digest, index);
        if (data.isRight() && !hostRegion.equals(originRegion)) {
            links.countAndGetPacer(originRegion, hostRegion, data.get().length);
        }
        return data;
    }
}
