package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.papayawalk.core.upstream.FeedRole;
import org.papayawalk.core.upstream.PollSchedule;

/**
 * Feed of a daemon whose role may change. Confined to the control thread.
 *
 * @param role role of the daemon
 * @param clock monotonic clock
 */
record RoleFeed(FeedRole role, InstantSource clock) implements TableFeed {
    @Override
    public boolean followsStore() {
        return role.followsStore(clock.instant());
    }

    @Override
    public Duration storeWait(
            PollSchedule schedule, int failures, Instant completeUntil, Instant now) {
        return role.storeWait(failures, completeUntil, now);
    }
}
