package org.papayawalk.daemon.managed.entry;

import java.util.Arrays;

/**
 * Ids of the requests that one connection has carried, as hashes. It may take an id for a carried
 * one, but never the reverse. Confined to the event loop thread.
 */
final class CarriedIds {
    /** Number of ids after which a connection is replaced, so that none has to be forgotten. */
    private static final int MAX_COUNT = 256;

    private static final int INITIAL_CAPACITY = 8;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    private long[] hashes = new long[INITIAL_CAPACITY];

    private int count;

    /**
     * Records the id of a request that is sent.
     *
     * @param id id
     */
    void add(String id) {
        if (count == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * count);
        }
        hashes[count] = hash(id);
        count++;
    }

    /**
     * Returns whether a request may be sent without its id being carried twice.
     *
     * @param id id
     * @return false if the id may have been carried
     */
    boolean admits(String id) {
        long wanted = hash(id);
        for (int i = 0; i < count; i++) {
            if (hashes[i] == wanted) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the connection has to be replaced.
     *
     * @return true if no further id can be recorded
     */
    boolean isFull() {
        return count >= MAX_COUNT;
    }

    /**
     * Returns how many requests were sent.
     *
     * @return number of ids
     */
    int count() {
        return count;
    }

    // FNV-1a, over characters.
    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
