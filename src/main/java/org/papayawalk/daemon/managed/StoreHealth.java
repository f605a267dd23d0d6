package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.papayawalk.core.upstream.UpstreamTracker;

/**
 * Failures of the store, as this daemon and its peers met them. Tells the tracker of upstreams, as
 * registrations lapse in an outage of the store. Confined to the control thread.
 */
final class StoreHealth {
    /** Time without a failure after which the store counts as healthy for a peer. */
    private static final Duration PEER_HEALTHY_AFTER = Duration.ofSeconds(3);

    private final UpstreamTracker upstreams;

    private final InstantSource clock;

    private final Instant startedAt;

    private Optional<Instant> lastFailureAt = Optional.empty();

    /**
     * Creates a record without failures.
     *
     * @param upstreams tracker of the upstreams
     * @param clock monotonic clock
     */
    StoreHealth(UpstreamTracker upstreams, InstantSource clock) {
        this.upstreams = upstreams;
        this.clock = clock;
        this.startedAt = clock.instant();
    }

    /** Records that a call of this daemon failed. */
    void recordFailure() {
        Instant now = clock.instant();
        lastFailureAt = Optional.of(now);
        upstreams.storeUnavailable(now);
    }

    /**
     * Returns for how long the store has served this daemon without a failure. A new daemon does
     * not report a healthy store yet.
     *
     * @return milliseconds since the last failure or the start, at most one day
     */
    int wellMillis() {
        return millisSince(lastFailureAt.orElse(startedAt));
    }

    /**
     * Returns the time since the last failed call of this daemon.
     *
     * @return milliseconds, at most one day; empty if no call failed
     */
    Optional<Integer> millisSinceFailure() {
        return lastFailureAt.map(this::millisSince);
    }

    /**
     * Records for how long the store has served a peer without a failure. From 3 s on, failed calls
     * of this daemon count as local faults, and no registration is treated as lapsed because of
     * them.
     *
     * @param millis time since the peer's last failed call to the store, in milliseconds
     */
    void recordPeerHealth(int millis) {
        if (millis >= PEER_HEALTHY_AFTER.toMillis()) {
            upstreams.storeHealthyForPeers(clock.instant());
        }
    }

    /**
     * Records a failed call of a peer that has sent rows. This daemon may have made no call itself
     * meanwhile, and registrations that the rows lack may have lapsed in the outage.
     *
     * @param at time of the failed call
     */
    void recordPeerFailure(Instant at) {
        upstreams.storeUnavailable(at);
    }

    private int millisSince(Instant time) {
        Duration since = Duration.between(time, clock.instant());
        return (int) Math.min(since.toMillis(), Duration.ofDays(1).toMillis());
    }
}
