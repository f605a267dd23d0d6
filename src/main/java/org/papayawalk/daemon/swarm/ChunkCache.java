package org.papayawalk.daemon.swarm;

import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.Digest;

/**
 * Bounded cache of verified chunks in memory outside the heap. Chunks are keyed by their digest, so
 * that versions share equal chunks. Evicts the oldest chunk first when the capacity is reached.
 *
 * <p>Thread-safe.
 */
public final class ChunkCache {
    /** In insertion order, oldest first. */
    private final Map<Digest, ByteBuffer> chunks = new LinkedHashMap<>();

    private final long capacityBytes;

    private long cachedBytes;

    /**
     * Creates an empty cache.
     *
     * @param capacityBytes maximum number of bytes cached
     */
    public ChunkCache(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Caches a verified chunk. Evicts other chunks, oldest first, to stay within the capacity. Has
     * no effect if the chunk is cached already or exceeds the capacity.
     *
     * @param digest digest of the chunk
     * @param data bytes that match the digest
     */
    public synchronized void put(Digest digest, byte[] data) {
        if (chunks.containsKey(digest) || data.length > capacityBytes) {
            return;
        }
        Iterator<ByteBuffer> oldest = chunks.values().iterator();
        while (cachedBytes + data.length > capacityBytes) {
            cachedBytes -= oldest.next().capacity();
            oldest.remove();
        }
        ByteBuffer buffer = ByteBuffer.allocateDirect(data.length);
        buffer.put(data).flip();
        chunks.put(digest, buffer);
        cachedBytes += data.length;
    }

    /**
     * Reads a chunk.
     *
     * @param digest digest of the chunk
     * @return a copy of its bytes, or empty if it is not cached
     */
    public synchronized Optional<byte[]> get(Digest digest) {
        ByteBuffer buffer = chunks.get(digest);
        if (buffer == null) {
            return Optional.empty();
        }
        byte[] data = new byte[buffer.capacity()];
        buffer.duplicate().get(data);
        return Optional.of(data);
    }

    /**
     * Returns whether a chunk is cached.
     *
     * @param digest digest of the chunk
     * @return true if it is cached
     */
    public synchronized boolean contains(Digest digest) {
        return chunks.containsKey(digest);
    }

    /**
     * Returns which chunks of a version are cached.
     *
     * @param digests digests of the chunks of the version, by index
     * @return indexes of the cached chunks
     */
    public synchronized BitSet cachedIndexes(List<Digest> digests) {
        BitSet held = new BitSet(digests.size());
        for (int i = 0; i < digests.size(); i++) {
            held.set(i, chunks.containsKey(digests.get(i)));
        }
        return held;
    }

    /**
     * Evicts all chunks except the given ones.
     *
     * @param wanted digests of the chunks to keep
     */
    public synchronized void retainOnly(Set<Digest> wanted) {
        Iterator<Map.Entry<Digest, ByteBuffer>> it = chunks.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<Digest, ByteBuffer> e = it.next();
            if (!wanted.contains(e.getKey())) {
                cachedBytes -= e.getValue().capacity();
                it.remove();
            }
        }
    }

    /**
     * Returns the number of bytes cached.
     *
     * @return bytes outside the heap, 0 up to the capacity
     */
    public synchronized long cachedBytes() {
        return cachedBytes;
    }
}
