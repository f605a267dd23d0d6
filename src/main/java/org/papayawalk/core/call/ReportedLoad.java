package org.papayawalk.core.call;

/**
 * Load that an upstream reports of itself. Immutable.
 *
 * @param running requests that it works on
 * @param waiting requests in its queue
 * @param slots requests that it works on at once
 */
public record ReportedLoad(int running, int waiting, int slots) {

    /**
     * Returns all requests that the upstream has.
     *
     * @return running and waiting ones
     */
    public int total() {
        return running + waiting;
    }
}
