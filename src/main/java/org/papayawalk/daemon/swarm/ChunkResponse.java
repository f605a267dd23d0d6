package org.papayawalk.daemon.swarm;

import java.util.BitSet;
import org.papayawalk.core.weight.FetchResult;

/**
 * Response of a source to a chunk request. Immutable by convention: the array and the bits are not
 * changed.
 *
 * @param result {@code VERIFIED} if the source sent bytes, which a {@link ChunkFetcher} verifies
 *     afterwards; otherwise why it sent none
 * @param data bytes of the chunk, empty if the source sent none
 * @param heldChunks indexes of the chunks that the source holds, or null if it did not report them
 */
public record ChunkResponse(FetchResult result, byte[] data, BitSet heldChunks) {
    /** Response used when a request fails without a response of the source. */
    public static final ChunkResponse FAILED =
            new ChunkResponse(FetchResult.FAILED, new byte[0], null);
}
