package org.papayawalk.core.call;

/**
 * Load report of an upstream, which includes the requests of all entries. Immutable.
 *
 * @param running number of running requests, 0 or more
 * @param waiting number of requests in the queue of the upstream, 0 or more
 * @param slots number of requests that the upstream runs concurrently
 */
public record ReportedLoad(int running, int waiting, int slots) {

    /**
     * Returns the number of running and waiting requests.
     *
     * @return number of requests, 0 or more
     */
    public int total() {
        return running + waiting;
    }
}
