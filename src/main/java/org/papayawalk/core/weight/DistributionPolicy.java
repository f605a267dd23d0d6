package org.papayawalk.core.weight;

/** What a deployment weighs more while a version spreads. Immutable. */
public enum DistributionPolicy {
    /** Shorter time to N replicas, at up to one more copy from the origin. */
    TIME,
    /** Fewer origin bytes. */
    BYTES
}
