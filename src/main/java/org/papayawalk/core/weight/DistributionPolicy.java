package org.papayawalk.core.weight;

/** Goal that a deployment prefers while a version is distributed. Immutable. */
public enum DistributionPolicy {
    /** Shortens the time to N replicas, at the cost of up to one more copy from the origin. */
    TIME,
    /** Keeps the bytes read from the origin low. */
    BYTES
}
