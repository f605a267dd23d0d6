package org.papayawalk.daemon.managed.entry;

import java.util.HashSet;
import java.util.Set;
import org.papayawalk.core.id.UpstreamId;

/** Upstreams that one request was sent to. Confined to the event loop thread. */
final class AttemptHistory {
    private final Set<UpstreamId> upstreams = new HashSet<>();

    /** Attempts that reached their upstream, or may have. */
    private int reachedCount;

    private boolean mayHaveRun;

    /**
     * Records that an attempt starts. It counts as having reached the upstream until {@link
     * #lastNotReached()}.
     *
     * @param upstream upstream of the attempt
     */
    void add(UpstreamId upstream) {
        upstreams.add(upstream);
        reachedCount++;
    }

    /** Records that the last attempt did not reach its upstream. */
    void lastNotReached() {
        reachedCount--;
    }

    /** Records that an upstream may have run the request. */
    void recordPossibleRun() {
        mayHaveRun = true;
    }

    /**
     * Returns the upstreams of all attempts.
     *
     * @return upstreams, including those that could not be reached
     */
    Set<UpstreamId> upstreams() {
        return upstreams;
    }

    /**
     * Returns the number of attempts that reached their upstream, or may have.
     *
     * @return 0 or more
     */
    int reachedCount() {
        return reachedCount;
    }

    /**
     * Returns whether an attempt that has ended may have run the request.
     *
     * @return false if every ended attempt was refused or did not reach its upstream
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns whether the request is or was at an upstream, including one that refused it.
     *
     * @return false if the request has certainly not run
     */
    boolean mayHaveReachedUpstream() {
        return mayHaveRun || reachedCount > 0;
    }
}
