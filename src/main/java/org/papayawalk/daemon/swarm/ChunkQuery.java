package org.papayawalk.daemon.swarm;

import java.util.BitSet;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;

/**
 * Chunk request received from a peer. Immutable by convention: the bits are not changed.
 *
 * @param peer peer that sent the request
 * @param digest digest of the manifest
 * @param index index of the chunk, not checked
 * @param heldChunks indexes of the chunks that the peer holds
 */
public record ChunkQuery(HostId peer, Digest digest, int index, BitSet heldChunks) {}
