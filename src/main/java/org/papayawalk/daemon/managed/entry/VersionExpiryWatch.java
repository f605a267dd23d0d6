package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Watches one attempt that has not begun until the version of its upstream expires. The time is
 * looked at again and again: it becomes earlier while messages become slower, by at most 2 s a
 * second, and a new version may be requested meanwhile. Confined to the event loop thread.
 */
final class VersionExpiryWatch {
    private static final Duration MIN_CHECK_PAUSE = Duration.ofMillis(5);

    private static final Duration MAX_CHECK_PAUSE = Duration.ofMillis(500);

    private final EntryContext entry;

    private final UpstreamRegistration upstream;

    private final Optional<String> model;

    private final BooleanSupplier over;

    private final Runnable expired;

    /**
     * Creates a watch that has not started.
     *
     * @param entry shared state of the entry
     * @param upstream upstream of the attempt
     * @param model model that the request names; without one nothing expires
     * @param over whether the attempt has begun or ended
     * @param expired called at most once, when the version expires before that
     */
    VersionExpiryWatch(
            EntryContext entry,
            UpstreamRegistration upstream,
            Optional<String> model,
            BooleanSupplier over,
            Runnable expired) {
        this.entry = entry;
        this.upstream = upstream;
        this.model = model;
        this.over = over;
        this.expired = expired;
    }

    /** Looks at the time, and again later. */
    void check() {
        if (over.getAsBoolean() || model.isEmpty()) {
            return;
        }
        Instant now = entry.clock().instant();
        Optional<Instant> at = entry.upstreams().withdrawAt(upstream, model, now);
        Duration left = at.map(t -> Duration.between(now, t)).orElse(MAX_CHECK_PAUSE);
        if (left.isZero() || left.isNegative()) {
            expired.run();
            return;
        }
        long pause = Math.min(left.toMillis() / 3, MAX_CHECK_PAUSE.toMillis());
        long delayMillis = Math.max(pause, MIN_CHECK_PAUSE.toMillis());
        entry.loop().schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
    }
}
