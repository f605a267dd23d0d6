package org.papayawalk.daemon.managed.entry;

import java.util.HashSet;
import java.util.Set;
import org.papayawalk.core.id.UpstreamId;

/** Upstreams that one request was sent to. Confined to the traffic thread. */
final class AttemptHistory {
    /** Upstreams, those included that could not be reached. */
    private final Set<UpstreamId> upstreams = new HashSet<>();

    /** Number of upstreams that took the request, or may have. */
    private int reachedCount;

    /** Whether the request may have run. */
    private boolean mayHaveRun;

    /**
     * Records that the request is sent.
     *
     * @param upstream upstream
     */
    void add(UpstreamId upstream) {
        upstreams.add(upstream);
        reachedCount++;
    }

    /** Records that the last sending did not reach its upstream. */
    void lastNotReached() {
        reachedCount--;
    }

    /** Records that the request may have run. */
    void recordPossibleRun() {
        mayHaveRun = true;
    }

    /**
     * Returns the upstreams.
     *
     * @return upstreams, those included that could not be reached
     */
    Set<UpstreamId> upstreams() {
        return upstreams;
    }

    /**
     * Returns the number of upstreams that took the request, or may have.
     *
     * @return 0 or more
     */
    int reachedCount() {
        return reachedCount;
    }

    /**
     * Tells whether the request may have run.
     *
     * @return true if an upstream neither refused nor missed it
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Tells whether the request is or was at an upstream.
     *
     * @return false if it certainly has not run
     */
    boolean mayHaveReachedUpstream() {
        return mayHaveRun || reachedCount > 0;
    }
}
