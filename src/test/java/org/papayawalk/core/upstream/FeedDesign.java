package org.papayawalk.core.upstream;

/** How entries follow the store. */
enum FeedDesign {
    /** Every entry polls the store, and asks entries of any region for rows. */
    STORE_ONLY,
    /** A few entries of each region poll the store, the others follow these and check. */
    SOURCES,
    /** As SOURCES, but each entry knows half of its region only, so that they disagree. */
    DISAGREEMENT,
    /** As SOURCES, but nobody checks: wrong, as outdated sources go unnoticed. */
    SOURCES_WITHOUT_CHECKS,
    /** As SOURCES, but any answer of a source counts as a proof: wrong for the same reason. */
    SOURCES_TRUSTED
}
