package org.papayawalk.core.weight;

/** Result of a request for a chunk. Immutable. */
public enum FetchResult {
    /** The chunk was received and matches its digest. */
    VERIFIED,
    /** Bytes were received that do not match the digest of the chunk. */
    CORRUPT,
    /** The source replied that it neither holds the chunk nor is fetching it. */
    NOT_HELD,
    /** The source replied that it is busy; a retry may succeed. */
    BUSY,
    /** The source did not reply before the timeout or was unreachable. */
    FAILED
}
