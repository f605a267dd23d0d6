package org.papayawalk.daemon.managed;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ThreadLocalRandom;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.CoalescePause;
import org.papayawalk.core.upstream.PollSchedule;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.daemon.managed.StoreCalls.Kind;
import org.papayawalk.daemon.managed.StoreCalls.Outcome;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.log.Event;
import org.papayawalk.platform.StoreCodec;

/**
 * Watches one table of the store: reads it in full, then polls for changes. Reads it in full again
 * if the store has dropped the history since the last known version, or if an answer states a later
 * era than that of the last known version. While another daemon delivers the rows, it only checks
 * whether the store has newer ones, a fixed time after the last proof that it lacks none. Confined
 * to the control thread.
 */
final class TableWatcher {
    // Pause before a full read is repeated that was older than the history of the store.
    private static final Duration STALE_READ_PAUSE = Duration.ofMillis(250);

    // Bound of the random pause before the full read in a new era, which all daemons need.
    private static final Duration MAX_ERA_PAUSE = Duration.ofMillis(100);

    private static final int STATUS_HISTORY_DROPPED = 410;

    /** Receives the rows of the table. Called on the control thread. */
    interface Receiver {
        /**
         * Returns the version up to which the table is known.
         *
         * @return {@link TableVersion#UNREAD} if the table has not been read
         */
        TableVersion version();

        /**
         * Returns the time until which every change is known.
         *
         * @return {@link Instant#MIN} if none is proven
         */
        Instant completeUntil();

        /**
         * Records that a version has every change made until a time.
         *
         * @param version version that an answer covers
         * @param until time that the answer proves
         */
        void complete(TableVersion version, Instant until);

        /**
         * Applies rows.
         *
         * @param update the complete table, or changes
         * @param after version after which the update has every change, in the era of the update; 0
         *     for the complete table
         */
        void apply(TableUpdate update, long after);

        /**
         * Called with the era that each answer of the store states.
         *
         * @param era era of the store
         */
        void eraSeen(StoreEra era);

        /**
         * Called after each call that the store did not answer, refused, or answered with malformed
         * data.
         */
        void storeFailed();

        /**
         * Called after each call.
         *
         * @param kind purpose of the call
         * @param outcome what it brought
         */
        void callEnded(Kind kind, Outcome outcome);
    }

    private final AsyncHttpClient http;

    private final String storeAddress;

    private final String table;

    private final ControlThread thread;

    private final Receiver receiver;

    private final PollSchedule schedule;

    private final CoalescePause coalescePause;

    private final TableFeed feed;

    private final InstantSource clock;

    private final StoreContact contact;

    // Whether the store has dropped changes that this daemon has not received, or was restored.
    private boolean needsFullRead;

    // Dropped histories in a row, without changes received in between.
    private int consecutiveDrops;

    private boolean running;

    // Time of the last call for changes.
    private Instant calledAt = Instant.MIN;

    private final CheckTimer checkTimer;

    private final AwaitedDelivery delivery = new AwaitedDelivery();

    // Number of the present start; calls of earlier starts are not continued.
    private int generation;

    /**
     * Creates a watcher that does not run yet.
     *
     * @param http client of the store
     * @param storeAddress IP address and port of the store
     * @param table name of the table
     * @param thread control thread
     * @param receiver receives what is read
     * @param schedule times of the calls
     * @param feed tells how to follow the store
     * @param clock monotonic clock
     */
    TableWatcher(
            AsyncHttpClient http,
            String storeAddress,
            String table,
            ControlThread thread,
            Receiver receiver,
            PollSchedule schedule,
            TableFeed feed,
            InstantSource clock) {
        this.http = http;
        this.storeAddress = storeAddress;
        this.table = table;
        this.thread = thread;
        this.receiver = receiver;
        this.schedule = schedule;
        this.coalescePause = new CoalescePause(schedule.longestCoalescePause());
        this.feed = feed;
        this.clock = clock;
        this.contact = new StoreContact(table, clock.instant());
        this.checkTimer = new CheckTimer(thread, clock);
    }

    /** Starts watching the table; no effect while it runs. */
    void start() {
        if (running) {
            return;
        }
        running = true;
        generation++;
        checkTimer.cancel();
        sendNextRequest(generation);
    }

    /** Follows the store from now on if no other daemon delivers the rows any more. */
    void reconsider() {
        if (checkTimer.isRunning() && feed.followsStore()) {
            endWait(generation);
        }
    }

    /**
     * Checks at once if the store states a later era than that of the known version.
     *
     * @param era era that any answer of the store states
     */
    void recordEra(StoreEra era) {
        if (checkTimer.isRunning() && era.isAfter(receiver.version().era())) {
            endWait(generation);
        }
    }

    /** Stops watching the table; {@link #start()} continues from the last known version. */
    void stop() {
        running = false;
    }

    /**
     * Returns whether the store answered the last call that ended.
     *
     * @return false also before the table was read
     */
    boolean isInContact() {
        return contact.failures() == 0 && !receiver.version().isUnread();
    }

    private void sendNextRequest(int callGeneration) {
        if (!running || callGeneration != generation) {
            return;
        }
        if (receiver.version().isUnread() || needsFullRead) {
            readPage("", new FullRead(), callGeneration);
            return;
        }
        boolean direct = feed.followsStore();
        Kind kind = direct ? Kind.FOLLOW : Kind.CHECK;
        if (receiver.completeUntil().isAfter(calledAt)) {
            delivery.proven();
        }
        calledAt = clock.instant();
        Duration wait = direct ? longestHold() : Duration.ZERO;
        boolean delegates = !direct && !delivery.isOverdue();
        FeedCall call = new FeedCall(kind, receiver.version().number(), calledAt, wait, delegates);
        String target = StoreCodec.changesTarget(table, call.after(), wait);
        AsyncHttpRequest request =
                AsyncHttpRequest.get(storeAddress, target, schedule.timeout(wait));
        http.send(request.withBounds(call.bounds(schedule.timeout(Duration.ZERO))))
                .thenAccept(r -> thread.execute(() -> handleChanges(r, call, callGeneration)));
    }

    // The first call is not held, as its answer proves that the full read was not stale.
    private Duration longestHold() {
        Instant proven = receiver.completeUntil();
        return proven.equals(Instant.MIN)
                ? Duration.ZERO
                : feed.storeWait(schedule, contact.failures(), proven, calledAt);
    }

    private void handleChanges(
            Either<Fault, AsyncHttpResponse> result, FeedCall call, int callGeneration) {
        result.forEach(a -> receiver.eraSeen(era(a)));
        Outcome outcome = Outcome.of(result);
        if (outcome != Outcome.DONE) {
            receiver.callEnded(call.kind(), outcome);
        }
        if (result.isRight() && result.get().status() == STATUS_HISTORY_DROPPED) {
            Event.named("store-history-dropped")
                    .with("table", table)
                    .with("after", call.after())
                    .info();
            needsFullRead = true;
            consecutiveDrops++;
            thread.schedule(
                    consecutiveDrops > 1 ? STALE_READ_PAUSE : Duration.ZERO,
                    () -> sendNextRequest(callGeneration));
            return;
        }
        if (outcome == Outcome.DELEGATED && call.delegates()) {
            awaitDelivery(call, callGeneration);
            return;
        }
        if (outcome != Outcome.DONE) {
            retryAfterFailure(result, callGeneration);
            return;
        }
        if (era(result.get()).isAfter(receiver.version().era())) {
            readFullyInNewEra(callGeneration);
            return;
        }
        try {
            TableUpdate update = StoreCodec.decode(result.get().body(), era(result.get()), false);
            boolean empty = update.rows().isEmpty();
            receiver.callEnded(call.kind(), empty ? Outcome.NOTHING : Outcome.DONE);
            contact.succeeded(clock.instant());
            consecutiveDrops = 0;
            // A task of its own, so that the polls go on whatever the receiver does.
            thread.execute(() -> continueAfter(update, callGeneration));
            receiver.apply(update, call.after());
            receiver.complete(update.version(), call.provenUntil(empty, clock.instant()));
        } catch (IOException e) {
            retryAfterMalformedAnswer(e, callGeneration);
        }
    }

    private void continueAfter(TableUpdate update, int callGeneration) {
        if (feed.followsStore()) {
            Duration pause =
                    update.rows().isEmpty()
                            ? Duration.ZERO
                            : coalescePause.afterChanges(clock.instant());
            thread.schedule(pause, () -> sendNextRequest(callGeneration));
            return;
        }
        awaitNextCheck(callGeneration);
    }

    private void awaitNextCheck(int callGeneration) {
        checkTimer.start(
                () -> lastProof().plus(schedule.checkInterval()),
                () -> sendNextRequest(callGeneration));
    }

    // What the check has found is read at the store if nobody delivers it.
    private void awaitDelivery(FeedCall call, int callGeneration) {
        contact.succeeded(clock.instant());
        double draw = ThreadLocalRandom.current().nextDouble();
        Instant until = clock.instant().plus(schedule.deliveryWait(draw));
        checkTimer.start(
                () -> until,
                () -> {
                    delivery.waited(receiver.version().number() > call.after());
                    sendNextRequest(callGeneration);
                });
    }

    private Instant lastProof() {
        Instant proven = receiver.completeUntil();
        return proven.isAfter(calledAt) ? proven : calledAt;
    }

    private void endWait(int callGeneration) {
        checkTimer.cancel();
        sendNextRequest(callGeneration);
    }

    // Changes of a later era cannot follow the known version, which the store may have given out
    // again.
    private void readFullyInNewEra(int callGeneration) {
        contact.succeeded(clock.instant());
        needsFullRead = true;
        long pause = ThreadLocalRandom.current().nextLong(MAX_ERA_PAUSE.toMillis());
        thread.schedule(Duration.ofMillis(pause), () -> sendNextRequest(callGeneration));
    }

    private void readPage(String from, FullRead read, int callGeneration) {
        String target = StoreCodec.readTarget(table, from);
        Duration timeout = schedule.timeout(Duration.ZERO);
        AsyncHttpRequest request = AsyncHttpRequest.get(storeAddress, target, timeout);
        http.send(request.withBounds(FeedCall.whole(timeout)))
                .thenAccept(r -> thread.execute(() -> handlePage(r, read, callGeneration)));
    }

    private void handlePage(
            Either<Fault, AsyncHttpResponse> result, FullRead read, int callGeneration) {
        Outcome outcome = Outcome.of(result);
        receiver.callEnded(Kind.READ, outcome);
        result.forEach(a -> receiver.eraSeen(era(a)));
        if (outcome != Outcome.DONE) {
            retryAfterFailure(result, callGeneration);
            return;
        }
        try {
            TableUpdate update = StoreCodec.decode(result.get().body(), era(result.get()), true);
            if (!read.add(update)) {
                readFullyInNewEra(callGeneration);
                return;
            }
            if (StoreCodec.hasMore(result.get().body()) && !update.rows().isEmpty()) {
                // The next page starts at the smallest key after the last one of this page.
                String last = update.rows().get(update.rows().size() - 1).key();
                readPage(last + '\u0000', read, callGeneration);
                return;
            }
            contact.succeeded(clock.instant());
            needsFullRead = false;
            thread.execute(() -> sendNextRequest(callGeneration));
            receiver.apply(read.snapshot(), 0);
        } catch (IOException e) {
            retryAfterMalformedAnswer(e, callGeneration);
        }
    }

    private static StoreEra era(AsyncHttpResponse answer) {
        return StoreCodec.decodeEra(answer.header(StoreCodec.ERA_HEADER));
    }

    private void retryAfterFailure(Either<Fault, AsyncHttpResponse> result, int callGeneration) {
        String reason =
                result.fold(
                        Fault::toString,
                        a -> "HTTP status " + a.status() + " from the store at " + storeAddress);
        contact.failed(reason);
        receiver.storeFailed();
        double draw = ThreadLocalRandom.current().nextDouble();
        thread.schedule(
                schedule.pause(contact.failures(), draw), () -> sendNextRequest(callGeneration));
    }

    private void retryAfterMalformedAnswer(IOException cause, int callGeneration) {
        Fault fault = Fault.of(FaultKind.CORRUPT, "read-table " + table, storeAddress, cause);
        retryAfterFailure(Either.left(fault), callGeneration);
    }
}
