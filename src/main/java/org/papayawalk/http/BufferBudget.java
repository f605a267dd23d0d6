package org.papayawalk.http;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds the memory of all responses that are buffered at the same time. When the bound is
 * exceeded, the largest ones are discarded, because endless responses grow and proper ones end.
 * Thread-safe.
 */
public final class BufferBudget {
    private final long maxBytes;

    /** Sizes of the buffers in bytes; guarded by this. */
    private final Map<Buffer, Integer> sizes = new IdentityHashMap<>();

    /** Sum of the sizes; guarded by this. */
    private long heldBytes;

    /** Response that is being buffered. */
    @FunctionalInterface
    public interface Buffer {
        /**
         * Frees the buffer and fails its request. Called on the thread that exceeds the bound.
         *
         * @param reason reason for the log
         */
        void discard(String reason);
    }

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes bound of the sum of all buffers, in bytes
     */
    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Sets the size of a buffer and discards the largest buffers, possibly this one, if the bound
     * is exceeded.
     *
     * @param buffer buffer
     * @param bytes its size in bytes
     */
    public void resize(Buffer buffer, int bytes) {
        for (Buffer b : resizeAndEvict(buffer, bytes)) {
            b.discard("buffered responses are longer than " + maxBytes + " bytes");
        }
    }

    /**
     * Records that a buffer was freed.
     *
     * @param buffer buffer, known or not
     */
    public synchronized void release(Buffer buffer) {
        Integer old = sizes.remove(buffer);
        heldBytes -= old == null ? 0 : old;
    }

    /**
     * Returns the memory in use.
     *
     * @return sum of the sizes of all buffers, in bytes
     */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    private synchronized List<Buffer> resizeAndEvict(Buffer buffer, int bytes) {
        Integer old = sizes.put(buffer, bytes);
        heldBytes += bytes - (old == null ? 0 : old);
        List<Buffer> evicted = new ArrayList<>();
        while (heldBytes > maxBytes) {
            Buffer largest = largest();
            release(largest);
            evicted.add(largest);
        }
        return evicted;
    }

    private Buffer largest() {
        return sizes.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElseThrow();
    }
}
