package org.papayawalk.daemon.managed.entry;

import org.papayawalk.core.limit.BodyAdmission;
import org.papayawalk.core.limit.HeaderLines;
import org.papayawalk.http.BufferBudget;

/**
 * Bounds of what callers and upstreams can make an entry hold. The bounds fit the heap of {@code
 * deploy/system.toml}, and shrink with a smaller one. The bound of responses is thread-safe; the
 * others are confined to the event loop thread.
 */
final class EntryMemory {
    /** Bound of all request bodies that are held at the same time, in bytes. */
    static final long MAX_BODY_BYTES = 20 * 1024 * 1024;

    /** Bound of all responses that are buffered at the same time, in bytes. */
    static final long MAX_BUFFERED_BYTES = 24 * 1024 * 1024;

    /** Bound of these and of the complete responses that callers have not read, in bytes. */
    static final long MAX_RESPONSE_BYTES = 40 * 1024 * 1024;

    /** Bound of all header lines beyond the first ones of each request, in bytes. */
    static final long MAX_HEADER_LINE_BYTES = 4 * 1024 * 1024;

    /** Memory of one short header line: its entry, name and value. */
    static final int HEADER_LINE_BYTES = 160;

    /** Heap for which the bounds are meant; a JVM reports a little less than it was given. */
    private static final long HEAP_BYTES = 92 * 1024 * 1024;

    private final BufferBudget responses;

    private final BodyAdmission bodies;

    private final HeaderLines headerLines;

    /**
     * Creates the bounds of a process.
     *
     * @param heapBytes largest heap of the process
     */
    EntryMemory(long heapBytes) {
        double share = Math.min(1, (double) heapBytes / HEAP_BYTES);
        responses =
                new BufferBudget(
                        (long) (share * MAX_BUFFERED_BYTES), (long) (share * MAX_RESPONSE_BYTES));
        bodies = new BodyAdmission((long) (share * MAX_BODY_BYTES));
        headerLines = new HeaderLines((int) (share * MAX_HEADER_LINE_BYTES / HEADER_LINE_BYTES));
    }

    /**
     * Returns the bound of the responses that are being buffered.
     *
     * @return thread-safe budget
     */
    BufferBudget responses() {
        return responses;
    }

    /**
     * Returns the bound of the request bodies that are held.
     *
     * @return admission
     */
    BodyAdmission bodies() {
        return bodies;
    }

    /**
     * Returns the bound of the header lines that are held.
     *
     * @return bound
     */
    HeaderLines headerLines() {
        return headerLines;
    }
}
