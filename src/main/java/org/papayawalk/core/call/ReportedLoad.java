package org.papayawalk.core.call;

/**
 * Load report of an upstream, which includes the requests of all entries. Immutable.
 *
 * @param running number of running requests, 0 or more
 * @param waiting number of requests in the queue of the upstream, 0 or more
 * @param slots number of requests that the upstream runs concurrently
 * @param pacePercent how long work takes on its host at this moment, in percent of the usual time
 */
public record ReportedLoad(int running, int waiting, int slots, int pacePercent) {
    /** Pace of a host on which work takes as long as usual. */
    public static final int USUAL_PACE_PERCENT = 100;

    /**
     * Creates the report of an upstream that does not state its pace.
     *
     * @param running see the component
     * @param waiting see the component
     * @param slots see the component
     */
    public ReportedLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, USUAL_PACE_PERCENT);
    }

    /**
     * Returns the number of running and waiting requests.
     *
     * @return number of requests, 0 or more
     */
    public int total() {
        return running + waiting;
    }
}
