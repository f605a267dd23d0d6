package org.papayawalk.daemon.standalone.agent;

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
 * Verified chunks in bounded memory outside the heap, by digest, so that versions share the chunks
 * that they have in common. When the budget is used up the oldest chunk goes. Thread-safe.
 */
public final class ChunkCache {
    /** Chunks, oldest first. */
    private final Map<Digest, ByteBuffer> chunks = new LinkedHashMap<>();

    /** Most bytes held. */
    private final long budgetBytes;

    /** Bytes held. */
    private long heldBytes;

    /**
     * Creates an empty store.
     *
     * @param budgetBytes most bytes held
     */
    public ChunkCache(long budgetBytes) {
        this.budgetBytes = budgetBytes;
    }

    /**
     * Stores a verified chunk. Chunks are dropped, oldest first, to keep the budget.
     *
     * @param digest digest of the chunk
     * @param data bytes that match the digest
     */
    public synchronized void put(Digest digest, byte[] data) {
        if (chunks.containsKey(digest) || data.length > budgetBytes) {
            return;
        }
        Iterator<ByteBuffer> oldest = chunks.values().iterator();
        while (heldBytes + data.length > budgetBytes) {
            heldBytes -= oldest.next().capacity();
            oldest.remove();
        }
        ByteBuffer buffer = ByteBuffer.allocateDirect(data.length);
        buffer.put(data).flip();
        chunks.put(digest, buffer);
        heldBytes += data.length;
    }

    /**
     * Reads a chunk.
     *
     * @param digest digest of the chunk
     * @return a copy of its bytes, or empty if it is not held
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
     * Tells whether a chunk is held.
     *
     * @param digest digest of the chunk
     * @return true if it is
     */
    public synchronized boolean holds(Digest digest) {
        return chunks.containsKey(digest);
    }

    /**
     * Tells which chunks of a version are held.
     *
     * @param digests digests of the version's chunks
     * @return indexes of those that are held
     */
    public synchronized BitSet held(List<Digest> digests) {
        BitSet held = new BitSet(digests.size());
        for (int i = 0; i < digests.size(); i++) {
            held.set(i, chunks.containsKey(digests.get(i)));
        }
        return held;
    }

    /**
     * Drops all chunks but some.
     *
     * @param wanted digests of the chunks to keep
     */
    public synchronized void retain(Set<Digest> wanted) {
        Iterator<Map.Entry<Digest, ByteBuffer>> it = chunks.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<Digest, ByteBuffer> e = it.next();
            if (!wanted.contains(e.getKey())) {
                heldBytes -= e.getValue().capacity();
                it.remove();
            }
        }
    }

    /**
     * Returns the bytes held.
     *
     * @return bytes outside the heap
     */
    public synchronized long heldBytes() {
        return heldBytes;
    }
}
