package org.papayawalk.daemon.standalone.agent;

import java.util.BitSet;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;

/**
 * Request of a peer for a chunk. Immutable by agreement: the bits are not changed.
 *
 * @param peer peer that asks
 * @param digest name of the version
 * @param index index of the chunk
 * @param held chunks that the peer holds
 */
public record ChunkQuery(HostId peer, Digest digest, int index, BitSet held) {}
