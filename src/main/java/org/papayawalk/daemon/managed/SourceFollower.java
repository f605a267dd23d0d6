package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.papayawalk.core.upstream.FeedRole;
import org.papayawalk.core.upstream.PollSchedule;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.log.Event;

/**
 * Follows one table at a source in the own region, if this entry is not a source itself, while the
 * watcher of the table checks at the store. Keeps one long poll open. Confined to the control
 * thread.
 */
final class SourceFollower {
    // Pause after an answer, so that the next one covers several changes.
    private static final Duration COALESCE_PAUSE = Duration.ofMillis(20);

    // Time after which a source looks again whether it is one.
    private static final Duration SOURCE_INTERVAL = Duration.ofMillis(200);

    private final String table;

    private final PlatformState state;

    private final FeedRole role;

    private final PollSchedule schedule;

    private final StateSyncClient client;

    private final TableWatcher watcher;

    private final ControlThread thread;

    private final InstantSource clock;

    // Source at the last query, for the log.
    private Optional<String> lastSource = Optional.empty();

    /**
     * Creates a follower that sends nothing yet.
     *
     * @param table name of the table
     * @param state state of this daemon
     * @param role chooses the source
     * @param schedule times of the queries
     * @param client sends the queries
     * @param watcher watcher of the table at the store
     * @param thread control thread
     * @param clock monotonic clock
     */
    SourceFollower(
            String table,
            PlatformState state,
            FeedRole role,
            PollSchedule schedule,
            StateSyncClient client,
            TableWatcher watcher,
            ControlThread thread,
            InstantSource clock) {
        this.table = table;
        this.state = state;
        this.role = role;
        this.schedule = schedule;
        this.client = client;
        this.watcher = watcher;
        this.thread = thread;
        this.clock = clock;
    }

    /** Starts to follow a source, for as long as the process runs. */
    void run() {
        role.update(client.regionEntries());
        Optional<String> source = role.source(clock.instant());
        logChange(source);
        watcher.reconsider();
        if (source.isEmpty()) {
            thread.schedule(SOURCE_INTERVAL, this::run);
            return;
        }
        query(source.get());
    }

    private void query(String source) {
        TableVersion before = state.table(table).version();
        Duration wait = role.sourceWait();
        Duration timeout = wait.plus(schedule.sourceTimeout());
        client.queryRows(source, table, wait, timeout, ok -> handleOutcome(source, before, ok));
    }

    private void handleOutcome(String source, TableVersion before, boolean answered) {
        if (!answered) {
            role.failed(source);
            run();
            return;
        }
        role.answered(source, clock.instant());
        if (state.table(table).version().compareTo(before) > 0) {
            watcher.recordDelivery();
        }
        thread.schedule(COALESCE_PAUSE, this::run);
    }

    private void logChange(Optional<String> source) {
        if (!source.equals(lastSource)) {
            Event.named("state-source")
                    .with("table", table)
                    .with("source", source.orElse("store"))
                    .info();
            lastSource = source;
        }
    }
}
