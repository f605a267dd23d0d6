package org.papayawalk.core.place;

import java.time.Duration;

/**
 * Decides whether a request leaves its failure domain. The cost of an upstream is the time by which
 * the first part of an answer is expected to be late there, in slots like the scores of {@link
 * LeastLoaded}: the prompts that are read before, and the wait for a slot, which is only probable
 * once nearly all slots are in use. Leaving pays if the cost is lower elsewhere by more than the
 * way there and the price of the link. As each request that leaves raises the cost elsewhere, only
 * so many leave as even it out. Immutable.
 *
 * @param promptCostSlots cost of reading one prompt of usual length, in slots
 * @param waitCostSlots cost of waiting until an upstream whose slots are all in use has a free one,
 *     in slots
 * @param linkCostSlots cost of the link to another failure domain, in slots
 * @param slotTime time that a cost of one slot stands for
 */
public record DomainPreference(
        double promptCostSlots, double waitCostSlots, double linkCostSlots, Duration slotTime) {
    /**
     * Preference in production. A prompt of usual length takes 30 ms to read, and one of twelve
     * slots becomes free every 80 ms, so that a slot stands for 10 ms.
     */
    public static final DomainPreference DEFAULT =
            new DomainPreference(3, 8, 2, Duration.ofMillis(10));

    /** Power with which the probability of a wait rises with the share of the slots in use. */
    private static final int WAIT_EXPONENT = 8;

    /**
     * Returns whether a request leaves its failure domain.
     *
     * @param nearCost cost of the best upstream in the failure domain
     * @param farCost cost of the best upstream elsewhere
     * @param way time that a message needs longer to that upstream, 0 or more
     * @return true if leaving pays
     */
    public boolean leaves(double nearCost, double farCost, Duration way) {
        double waySlots = 2.0 * way.toNanos() / slotTime.toNanos();
        return nearCost > farCost + waySlots + linkCostSlots;
    }

    /**
     * Returns the cost of an upstream.
     *
     * @param inFlight requests of all entries at the upstream, 0 or more
     * @param slots requests that it runs concurrently, at least 1
     * @param prompts prompts that it reads before that of the request, in prompts of usual length
     * @param pace multiple of the usual time that work takes there
     * @return cost in slots
     */
    public double cost(int inFlight, int slots, double prompts, double pace) {
        double used = (double) inFlight / slots;
        double wait = waitCostSlots * Math.pow(used, WAIT_EXPONENT);
        return pace * (promptCostSlots * (1 + prompts) + wait);
    }
}
