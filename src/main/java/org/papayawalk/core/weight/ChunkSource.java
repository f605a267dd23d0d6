package org.papayawalk.core.weight;

import org.papayawalk.core.id.HostId;

/**
 * Where a chunk is asked for. Immutable.
 *
 * @param host peer to ask, or null for the origin
 */
public record ChunkSource(HostId host) {
    /** The origin. */
    public static final ChunkSource ORIGIN = new ChunkSource(null);

    /**
     * Tells whether this is the origin.
     *
     * @return true for the origin, false for a peer
     */
    public boolean isOrigin() {
        return host == null;
    }

    @Override
    public String toString() {
        return isOrigin() ? "origin" : host.value();
    }
}
