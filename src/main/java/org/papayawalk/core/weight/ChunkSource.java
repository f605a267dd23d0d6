package org.papayawalk.core.weight;

import org.papayawalk.core.id.HostId;

/**
 * Source that a chunk is requested from: a peer or the origin. Immutable.
 *
 * @param host peer to request from, or null for the origin
 */
public record ChunkSource(HostId host) {
    /** The origin. */
    public static final ChunkSource ORIGIN = new ChunkSource(null);

    /**
     * Returns whether this source is the origin.
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
