package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;

/**
 * Closes a connection that has been idle between its requests for as long as the limits in force
 * allow, or whose caller takes nothing of a response any more. Confined to the event loop thread.
 */
final class IdleCheck {
    /** Added to the callers' idle timeout before an idle connection is closed. */
    private static final Duration MARGIN = Duration.ofSeconds(1);

    private final EntryContext entry;

    private final ConnectionTimer timer;

    private final UnsentResponse unsent;

    private final Runnable close;

    /** When the connection became idle. */
    private Instant idleSince;

    /**
     * Creates a check that does not run.
     *
     * @param entry shared state of the entry
     * @param timer timer of the connection; other uses of it end the check
     * @param unsent responses that the caller has not read
     * @param close closes the connection
     */
    IdleCheck(EntryContext entry, ConnectionTimer timer, UnsentResponse unsent, Runnable close) {
        this.entry = entry;
        this.timer = timer;
        this.unsent = unsent;
        this.close = close;
    }

    /** Starts the check, as the connection is idle from now on. */
    void start() {
        idleSince = entry.clock().instant();
        timer.start(limit(), this::check);
    }

    /**
     * Returns since when the connection is idle.
     *
     * @return time of the last start
     */
    Instant idleSince() {
        return idleSince;
    }

    private void check() {
        if (!unsent.isEmpty() && unsent.hasAdvanced()) {
            start();
            return;
        }
        Duration left = limit().minus(Duration.between(idleSince, entry.clock().instant()));
        if (left.toMillis() > 0) {
            timer.start(left, this::check);
            return;
        }
        close.run();
    }

    private Duration limit() {
        return entry.callerLimits().idleTimeout().plus(MARGIN);
    }
}
