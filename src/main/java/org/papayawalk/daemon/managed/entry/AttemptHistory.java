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

    /** Whether the last attempt has not ended. */
    private boolean inFlight;

    /**
     * Records that an attempt starts. It counts as having reached its upstream until {@link
     * #lastEnded} states otherwise.
     *
     * @param upstream upstream of the attempt
     */
    void add(UpstreamId upstream) {
        upstreams.add(upstream);
        reachedCount++;
        inFlight = true;
    }

    /**
     * Records that the last attempt ended without a response for the caller.
     *
     * @param ranPossibly whether its upstream may have run the request
     * @param reached whether the request reached its upstream
     */
    void lastEnded(boolean ranPossibly, boolean reached) {
        inFlight = false;
        mayHaveRun |= ranPossibly;
        reachedCount -= reached ? 0 : 1;
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
     * Returns the number of attempts that have ended and reached their upstream, or may have.
     *
     * @return 0 or more
     */
    int endedCount() {
        return inFlight ? reachedCount - 1 : reachedCount;
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
     * Returns whether an upstream may have run the request or may run it yet.
     *
     * @return false if every attempt was refused or did not reach its upstream, so that the request
     *     has certainly not run
     */
    boolean mayRun() {
        return mayHaveRun || inFlight;
    }
}
