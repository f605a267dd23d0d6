package org.papayawalk.http;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds the memory of all responses that are buffered at the same time. When the bound is
 * exceeded, the largest incomplete ones are discarded, because endless responses grow and proper
 * ones end. Complete ones that wait for slow callers are never discarded; small ones are received
 * all the same. Thread-safe.
 */
public final class BufferBudget {
    /** Largest response that counts as small, in bytes. */
    private static final int SMALL_BYTES = 64 * 1024;

    /** Memory beyond the bound of all responses that only small ones use, in bytes. */
    private static final long SMALL_RESERVE_BYTES = 4 * 1024 * 1024;

    private final long maxIncompleteBytes;

    private final long maxBytes;

    /** Sizes of the incomplete responses in bytes; guarded by this. */
    private final Map<Buffer, Integer> sizes = new IdentityHashMap<>();

    /** Sum of the sizes; guarded by this. */
    private long incompleteBytes;

    /** Sum of the complete responses in bytes; guarded by this. */
    private long completeBytes;

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
     * @param maxIncompleteBytes bound of the sum of all incomplete responses, in bytes
     * @param maxBytes bound of the sum of all responses, in bytes; complete ones may exceed it
     */
    public BufferBudget(long maxIncompleteBytes, long maxBytes) {
        this.maxIncompleteBytes = maxIncompleteBytes;
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
            b.discard("buffered responses are longer than " + maxIncompleteBytes + " bytes");
        }
    }

    /**
     * Records that a buffer was freed.
     *
     * @param buffer buffer, known or not
     */
    public synchronized void release(Buffer buffer) {
        Integer old = sizes.remove(buffer);
        incompleteBytes -= old == null ? 0 : old;
    }

    /**
     * Adds a complete response that waits for its caller to read.
     *
     * @param bytes its size in bytes
     */
    public synchronized void hold(int bytes) {
        completeBytes += bytes;
    }

    /**
     * Records that a complete response was sent.
     *
     * @param bytes its size in bytes
     */
    public synchronized void unhold(int bytes) {
        completeBytes -= bytes;
    }

    /**
     * Returns the memory in use.
     *
     * @return sum of the sizes of all buffers and complete responses, in bytes
     */
    public synchronized long heldBytes() {
        return incompleteBytes + completeBytes;
    }

    private synchronized List<Buffer> resizeAndEvict(Buffer buffer, int bytes) {
        Integer old = sizes.put(buffer, bytes);
        incompleteBytes += bytes - (old == null ? 0 : old);
        List<Buffer> evicted = new ArrayList<>();
        while (isExceeded(0) && !sizes.isEmpty()) {
            Buffer largest = largest();
            if (sizes.get(largest) <= SMALL_BYTES && !isExceeded(SMALL_RESERVE_BYTES)) {
                break;
            }
            release(largest);
            evicted.add(largest);
        }
        return evicted;
    }

    private boolean isExceeded(long reserveBytes) {
        return incompleteBytes > maxIncompleteBytes
                || incompleteBytes + completeBytes > maxBytes + reserveBytes;
    }

    private Buffer largest() {
        return sizes.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElseThrow();
    }
}
