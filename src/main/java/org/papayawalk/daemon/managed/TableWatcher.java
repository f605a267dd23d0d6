package org.papayawalk.daemon.managed;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.http.HttpAnswer;
import org.papayawalk.http.HttpClient;
import org.papayawalk.http.ShortCall;
import org.papayawalk.log.Event;
import org.papayawalk.platform.StoreCodec;

/**
 * Follows one table of the store: reads it whole once, then waits for changes, and reads it whole
 * again when the store has dropped the history in between. Confined to the control thread.
 */
final class TableWatcher {
    /** Longest wait for a change. */
    private static final Duration WAIT = Duration.ofSeconds(4);

    /** Time that the store may take besides the wait. */
    private static final Duration ANSWER_LIMIT = Duration.ofMillis(1200);

    /** Pause after an answer with changes, in which further changes gather. */
    private static final Duration GATHER = Duration.ofMillis(60);

    /** Shortest pause after a failure. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    /** Longest pause after failures in a row. */
    private static final Duration MAX_RETRY_PAUSE = Duration.ofMillis(1000);

    /** Pause before a table is read again whose last reading was older than the history. */
    private static final Duration STALE_PAUSE = Duration.ofMillis(250);

    /** Status of a feed whose history was dropped. */
    private static final int HISTORY_DROPPED = 410;

    /** Takes what the feed reads. Called on the control thread. */
    interface Receiver {
        /**
         * Returns the version up to which the table is known.
         *
         * @return 0 if the table is not known
         */
        long version();

        /**
         * Takes rows.
         *
         * @param batch rows read
         * @param after version after which the rows are complete
         */
        void read(TableUpdate batch, long after);

        /** Learns that the store did not answer or refused. */
        void away();
    }

    /** Client of the store. */
    private final HttpClient http;

    /** Address of the store. */
    private final String store;

    /** Name of the table. */
    private final String table;

    /** Control thread. */
    private final ControlThread thread;

    /** Takes what is read. */
    private final Receiver receiver;

    /** Failures in a row. */
    private int failures;

    /** Whether the store has dropped changes that are not known here. */
    private boolean historyLost;

    /** Dropped histories in a row, without changes read in between. */
    private int drops;

    /** Whether the feed runs. */
    private boolean running;

    /** Number of the start; answers of earlier ones are dropped. */
    private int epoch;

    /**
     * Creates a feed that does not run yet.
     *
     * @param http client of the store
     * @param store address of the store
     * @param table name of the table
     * @param thread control thread
     * @param receiver takes what is read
     */
    TableWatcher(
            HttpClient http, String store, String table, ControlThread thread, Receiver receiver) {
        this.http = http;
        this.store = store;
        this.table = table;
        this.thread = thread;
        this.receiver = receiver;
    }

    /** Starts to follow the table. */
    void start() {
        if (running) {
            return;
        }
        running = true;
        epoch++;
        next(epoch);
    }

    /** Stops to follow the table; {@link #start()} goes on where it stopped. */
    void stop() {
        running = false;
    }

    /**
     * Sends the next call.
     *
     * @param started number of the start that the call belongs to
     */
    private void next(int started) {
        if (!running || started != epoch) {
            return;
        }
        if (receiver.version() == 0 || historyLost) {
            readPage("", new ArrayList<>(), 0, started);
            return;
        }
        long after = receiver.version();
        String target = StoreCodec.feedTarget(table, after, WAIT);
        http.call(ShortCall.get(store, target, WAIT.plus(ANSWER_LIMIT)))
                .thenAccept(r -> thread.run(() -> fed(r, after, started)));
    }

    /**
     * Takes the answer to a wait for changes.
     *
     * @param result answer or fault
     * @param after version that was known
     * @param started number of the start that the call belongs to
     */
    private void fed(Either<Fault, HttpAnswer> result, long after, int started) {
        if (result.isRight() && result.get().status() == HISTORY_DROPPED) {
            Event.named("store-history-dropped").with("table", table).with("after", after).info();
            historyLost = true;
            drops++;
            thread.later(drops > 1 ? STALE_PAUSE : Duration.ZERO, () -> next(started));
            return;
        }
        if (!good(result)) {
            failed(result, started);
            return;
        }
        try {
            TableUpdate batch = StoreCodec.decode(result.get().body(), false);
            succeeded();
            drops = 0;
            receiver.read(batch, after);
            Duration pause = batch.rows().isEmpty() ? Duration.ZERO : GATHER;
            thread.later(pause, () -> next(started));
        } catch (IOException e) {
            unreadable(e, started);
        }
    }

    /**
     * Reads a page of the table.
     *
     * @param from first key, empty for the first page
     * @param rows rows of the pages before
     * @param version version of the first page
     * @param started number of the start that the call belongs to
     */
    private void readPage(String from, List<TableRecord> rows, long version, int started) {
        http.call(ShortCall.get(store, StoreCodec.readTarget(table, from), ANSWER_LIMIT))
                .thenAccept(r -> thread.run(() -> page(r, rows, version, started)));
    }

    /**
     * Takes a page of the table. The version of the first page counts: changes between the pages
     * come again with the wait that follows.
     *
     * @param result answer or fault
     * @param rows rows of the pages before
     * @param version version of the first page, 0 if this is it
     * @param started number of the start that the call belongs to
     */
    private void page(
            Either<Fault, HttpAnswer> result, List<TableRecord> rows, long version, int started) {
        if (!good(result)) {
            failed(result, started);
            return;
        }
        try {
            TableUpdate batch = StoreCodec.decode(result.get().body(), true);
            rows.addAll(batch.rows());
            long covered = version == 0 ? batch.version() : version;
            if (StoreCodec.hasMore(result.get().body()) && !batch.rows().isEmpty()) {
                String last = batch.rows().get(batch.rows().size() - 1).key();
                readPage(last + '\u0000', rows, covered, started);
                return;
            }
            succeeded();
            historyLost = false;
            receiver.read(new TableUpdate(rows, covered, true), 0);
            next(started);
        } catch (IOException e) {
            unreadable(e, started);
        }
    }

    /**
     * Tells whether a call succeeded.
     *
     * @param result answer or fault
     * @return true if the store answered and did what was asked
     */
    private static boolean good(Either<Fault, HttpAnswer> result) {
        return result.isRight() && result.get().success();
    }

    /** Records an answer of the store. */
    private void succeeded() {
        if (failures > 0) {
            Event.named("store-regained").with("table", table).with("failures", failures).info();
        }
        failures = 0;
    }

    /**
     * Records a failure and tries again after a pause.
     *
     * @param result answer or fault
     * @param started number of the start that the call belongs to
     */
    private void failed(Either<Fault, HttpAnswer> result, int started) {
        if (failures == 0) {
            String reason = result.fold(Fault::toString, a -> "status " + a.status());
            Event.named("store-lost").with("table", table).with("reason", reason).warn();
        }
        failures++;
        receiver.away();
        long bound =
                Math.min(
                        MAX_RETRY_PAUSE.toMillis(), RETRY_PAUSE.toMillis() * Math.min(failures, 8));
        long pause = bound / 2 + ThreadLocalRandom.current().nextLong(bound / 2 + 1);
        thread.later(Duration.ofMillis(pause), () -> next(started));
    }

    /**
     * Records an answer that cannot be read.
     *
     * @param cause cause
     * @param started number of the start that the call belongs to
     */
    private void unreadable(IOException cause, int started) {
        Fault fault = Fault.of(FaultKind.CORRUPT, "read-table " + table, store, cause);
        failed(Either.left(fault), started);
    }
}
