package org.papayawalk.core.place;

/**
 * Policy of {@link LeastLoaded}. Immutable.
 *
 * @param maxQueueShare requests that may queue at an upstream, as a share of its slots; at least
 *     one request may
 * @param maxUnreportedShare requests that all entries together may send to an upstream before its
 *     next load report, as a share of its slots; each entry may send at least one
 * @param sampleSize upstreams that are compared; with a large sample, entries with the same late
 *     reports choose the same upstream
 * @param prefillCostSlots cost of one prompt of usual length while it is in prefill, in slots
 * @param failurePenaltySlots penalty at a failure rate of 1, in slots; lower rates count in
 *     proportion
 * @param maxJitterSlots upper bound of the random tie-break between upstreams of equal load, in
 *     slots
 * @param reservedShare share of the slots that is left free for other requests; if it is above 0,
 *     nothing may queue
 */
public record PlacementPolicy(
        double maxQueueShare,
        double maxUnreportedShare,
        int sampleSize,
        double prefillCostSlots,
        double failurePenaltySlots,
        double maxJitterSlots,
        double reservedShare) {
    /** Policy for engines: a short queue, as a request that waits there cannot go elsewhere. */
    public static final PlacementPolicy ENGINES = new PlacementPolicy(0.05, 0.5, 4, 3, 12, 0.6, 0);

    /**
     * Policy for engines and requests that can no longer be on time: a slot in eight stays free for
     * those that can, so that callers who return after a refusal do not displace them.
     */
    public static final PlacementPolicy ENGINES_LATE = ENGINES.withReserve(0.125);

    /**
     * Policy for plain services. Unreported requests are not bounded, because the responses, and
     * with them the load reports, arrive quickly.
     */
    public static final PlacementPolicy PLAIN = new PlacementPolicy(2.0, 1000, 4, 3, 12, 0.6, 0);

    /**
     * Returns this policy with other bounds.
     *
     * @param queueShare see {@link #maxQueueShare}
     * @param unreportedShare see {@link #maxUnreportedShare}
     * @return copy
     */
    public PlacementPolicy withBounds(double queueShare, double unreportedShare) {
        return new PlacementPolicy(
                queueShare,
                unreportedShare,
                sampleSize,
                prefillCostSlots,
                failurePenaltySlots,
                maxJitterSlots,
                reservedShare);
    }

    /**
     * Returns this policy with slots that are left free.
     *
     * @param share see {@link #reservedShare}
     * @return copy
     */
    public PlacementPolicy withReserve(double share) {
        return new PlacementPolicy(
                maxQueueShare,
                maxUnreportedShare,
                sampleSize,
                prefillCostSlots,
                failurePenaltySlots,
                maxJitterSlots,
                share);
    }

    /**
     * Returns the number of requests from all entries at which an upstream gets no further one.
     *
     * @param slots slots of the upstream
     * @return at least 1
     */
    int fullAt(int slots) {
        if (reservedShare > 0) {
            return (int) Math.max(1, Math.round(slots * (1 - reservedShare)));
        }
        return slots + (int) Math.max(1, Math.round(slots * maxQueueShare));
    }
}
