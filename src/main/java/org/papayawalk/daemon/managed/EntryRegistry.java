package org.papayawalk.daemon.managed;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.core.upstream.EraRenewal;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.log.Event;
import org.papayawalk.platform.StoreCodec;

/**
 * Table of the store in which entries register, so that daemons find entries beyond the configured
 * seeds. Confined to the control thread.
 */
final class EntryRegistry {
    private static final String TABLE = "papayawalk-entries";

    private static final Duration DEREGISTER_TIMEOUT = Duration.ofMillis(500);

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration RETRY_PAUSE = Duration.ofMillis(700);

    private static final Duration POLL_INTERVAL = Duration.ofSeconds(20);

    // Time over which the entries spread the writes of their rows after a restore of the store.
    private static final Duration RENEWAL_SPREAD = Duration.ofMillis(1000);

    private final ManagedSettings settings;

    private final AsyncHttpClient http;

    private final StoreCalls calls;

    private final EntryDirectory entries;

    private final ControlThread thread;

    private final InstantSource clock;

    private final EraRenewal renewal = new EraRenewal(RENEWAL_SPREAD);

    private final UnreadableRows unreadable = new UnreadableRows();

    // Whether the row was removed for good.
    private volatile boolean deregistered;

    /**
     * Creates a registry that has neither registered nor read anything.
     *
     * @param settings settings of the process
     * @param http client of the store
     * @param calls counts the calls
     * @param entries directory that receives the registered entries
     * @param thread control thread
     * @param clock monotonic clock
     */
    EntryRegistry(
            ManagedSettings settings,
            AsyncHttpClient http,
            StoreCalls calls,
            EntryDirectory entries,
            ControlThread thread,
            InstantSource clock) {
        this.settings = settings;
        this.http = http;
        this.calls = calls;
        this.entries = entries;
        this.thread = thread;
        this.clock = clock;
    }

    /** Writes the row of this entry and retries until the store accepts it. */
    void register() {
        if (deregistered) {
            return;
        }
        ListedEntry self = new ListedEntry(settings.peerAddress(), settings.domain());
        byte[] value = self.toRow().getBytes(StandardCharsets.UTF_8);
        write(StoreCodec.putBody(TABLE, settings.host().value(), value))
                .thenAccept(r -> thread.execute(() -> handleRegistration(r)));
    }

    /**
     * Writes the row again if the store was restored since, from a copy that may lack it.
     *
     * @param era era that an answer of the store states
     */
    void eraSeen(StoreEra era) {
        renewal.eraSeen(era, ThreadLocalRandom.current().nextDouble())
                .ifPresent(delay -> thread.schedule(delay, this::register));
    }

    private void handleRegistration(Either<Fault, AsyncHttpResponse> result) {
        calls.ended(StoreCalls.Kind.PUT, TABLE, StoreCalls.Outcome.of(result));
        if (result.isLeft() || !result.get().isSuccess()) {
            thread.schedule(RETRY_PAUSE, this::register);
            return;
        }
        StoreEra era = era(result.get());
        renewal.acknowledged(era);
        Event.named("entry-registered").with("era", era).info();
    }

    private static StoreEra era(AsyncHttpResponse answer) {
        return StoreCodec.decodeEra(answer.header(StoreCodec.ERA_HEADER));
    }

    /**
     * Removes the row of this entry. Blocks for 500 ms at most; a failure is logged and not
     * retried.
     */
    void deregister() {
        deregistered = true;
        byte[] body = StoreCodec.removeBody(TABLE, settings.host().value());
        try {
            write(body).get(DEREGISTER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            Event.named("entry-row-left").with("reason", e).info();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the rows now and then every 20 s; 700 ms after a failure. */
    void pollRows() {
        String target = StoreCodec.readTarget(TABLE, "");
        http.send(AsyncHttpRequest.get(settings.storeAddress(), target, CALL_TIMEOUT))
                .thenAccept(r -> thread.execute(() -> handleRows(r)));
    }

    private void handleRows(Either<Fault, AsyncHttpResponse> result) {
        calls.ended(StoreCalls.Kind.READ, TABLE, StoreCalls.Outcome.of(result));
        if (result.isLeft() || !result.get().isSuccess()) {
            thread.schedule(RETRY_PAUSE, this::pollRows);
            return;
        }
        try {
            AsyncHttpResponse answer = result.get();
            StoreCodec.decode(answer.body(), era(answer), true).rows().forEach(this::recordRow);
        } catch (IOException e) {
            Event.named("entry-rows-unreadable").with("reason", e.getMessage()).warn();
        }
        thread.schedule(POLL_INTERVAL, this::pollRows);
    }

    private void recordRow(TableRecord row) {
        Optional<ListedEntry> entry =
                ListedEntry.ofRow(new String(row.value(), StandardCharsets.UTF_8));
        if (entry.isPresent()) {
            entries.recordMention(entry.get().address(), entry.get().domain(), clock.instant());
        } else if (unreadable.logsNow(row)) {
            Event.named("entry-row-unreadable").with("key", row.key()).warn();
        }
    }

    private CompletableFuture<Either<Fault, AsyncHttpResponse>> write(byte[] body) {
        return http.send(
                new AsyncHttpRequest(
                        settings.storeAddress(),
                        HttpMethod.POST,
                        StoreCodec.writeTarget(),
                        body,
                        CALL_TIMEOUT));
    }
}
