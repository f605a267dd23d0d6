package org.papayawalk.daemon.standalone.agent;

import java.util.BitSet;
import org.papayawalk.core.weight.FetchResult;

/**
 * Answer of a source to a request for a chunk, before verification. Immutable by convention.
 *
 * @param result {@code VERIFIED} if bytes came, although they are not verified yet; else why not
 * @param data bytes, empty if none came
 * @param held chunks that the source says it holds, or null if it did not say
 */
public record ChunkResponse(FetchResult result, byte[] data, BitSet held) {
    /** Answer in place of one that did not come. */
    public static final ChunkResponse FAILED =
            new ChunkResponse(FetchResult.FAILED, new byte[0], null);
}
