package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.upstream.FeedRole;
import org.papayawalk.core.upstream.PollSchedule;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.log.Event;

/**
 * Follows the tables at a source in the own region, if this entry is not a source itself, while the
 * watchers of the tables check at the store. Keeps one long poll open, which brings newer rows, or
 * the source's next proof that there are none. Confined to the control thread.
 */
final class SourceFollower {
    // Pause after an answer, so that the next one covers several changes.
    private static final Duration COALESCE_PAUSE = Duration.ofMillis(20);

    // Time after which a source looks again whether it is one.
    private static final Duration SOURCE_INTERVAL = Duration.ofMillis(200);

    private final PlatformState state;

    private final FeedRole role;

    private final PollSchedule schedule;

    private final StateSyncClient client;

    private final Map<String, TableWatcher> watchers;

    private final ControlThread thread;

    private final InstantSource clock;

    // Source at the last query, for the log.
    private Optional<String> lastSource = Optional.empty();

    /**
     * Creates a follower that sends nothing yet.
     *
     * @param state state of this daemon
     * @param role chooses the source
     * @param schedule times of the queries
     * @param client sends the queries
     * @param watchers watchers of the tables at the store, by table
     * @param thread control thread
     * @param clock monotonic clock
     */
    SourceFollower(
            PlatformState state,
            FeedRole role,
            PollSchedule schedule,
            StateSyncClient client,
            Map<String, TableWatcher> watchers,
            ControlThread thread,
            InstantSource clock) {
        this.state = state;
        this.role = role;
        this.schedule = schedule;
        this.client = client;
        this.watchers = watchers;
        this.thread = thread;
        this.clock = clock;
    }

    /** Starts to follow a source, for as long as the process runs. */
    void run() {
        role.update(client.regionEntries());
        Optional<String> source = role.source(clock.instant());
        logChange(source);
        watchers.values().forEach(TableWatcher::reconsider);
        if (source.isEmpty()) {
            thread.schedule(SOURCE_INTERVAL, this::run);
            return;
        }
        query(source.get());
    }

    private void query(String source) {
        Duration wait = role.sourceWait(completeUntil(), clock.instant());
        Duration timeout = wait.plus(schedule.sourceTimeout());
        client.queryRows(source, wait, timeout, ok -> handleOutcome(source, ok));
    }

    // Time until which all tables are complete.
    private Instant completeUntil() {
        return watchers.keySet().stream()
                .map(t -> state.table(t).completeUntil())
                .min(Instant::compareTo)
                .orElseThrow();
    }

    private void handleOutcome(String source, boolean answered) {
        if (!answered) {
            role.failed(source);
            run();
            return;
        }
        role.answered(source, clock.instant());
        thread.schedule(COALESCE_PAUSE, this::run);
    }

    private void logChange(Optional<String> source) {
        if (!source.equals(lastSource)) {
            Event.named("state-source").with("source", source.orElse("store")).info();
            lastSource = source;
        }
    }
}
