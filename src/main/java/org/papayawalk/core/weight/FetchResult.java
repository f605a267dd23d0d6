package org.papayawalk.core.weight;

/** How a request for a chunk ended. Immutable. */
public enum FetchResult {
    /** The chunk arrived and matches its digest. */
    VERIFIED,
    /** Bytes arrived that do not match the digest. */
    CORRUPT,
    /** The source answered that it does not hold the chunk and is not fetching it. */
    NOT_HELD,
    /** The source answered that it is busy. */
    BUSY,
    /** The source did not answer in time or could not be reached. */
    FAILED
}
