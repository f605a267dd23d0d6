package org.papayawalk.daemon.managed;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.http.HttpAnswer;
import org.papayawalk.http.HttpClient;
import org.papayawalk.http.ShortCall;
import org.papayawalk.log.Event;
import org.papayawalk.platform.StoreCodec;

/**
 * Rows of the store by which daemons find the entries, beside the seeds. Confined to the control
 * thread.
 */
final class EntryRegistry {
    /** Table of the entries. */
    private static final String TABLE = "papayawalk-entries";

    /** Longest time of a call. */
    private static final Duration CALL_LIMIT = Duration.ofMillis(1500);

    /** Pause after a failure. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(700);

    /** Pause between readings. */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(20);

    /** Settings of the process. */
    private final ManagedSettings settings;

    /** Client of the store. */
    private final HttpClient http;

    /** Entries known. */
    private final EntryDirectory entries;

    /** Control thread. */
    private final ControlThread thread;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /**
     * Creates a registry.
     *
     * @param settings settings of the process
     * @param http client of the store
     * @param entries entries known
     * @param thread control thread
     * @param clock clock that never jumps
     */
    EntryRegistry(
            ManagedSettings settings,
            HttpClient http,
            EntryDirectory entries,
            ControlThread thread,
            InstantSource clock) {
        this.settings = settings;
        this.http = http;
        this.entries = entries;
        this.thread = thread;
        this.clock = clock;
    }

    /** Writes the row of this entry, again and again until the store has it. */
    void register() {
        byte[] value =
                (settings.peerAddress() + " " + settings.domain()).getBytes(StandardCharsets.UTF_8);
        write(StoreCodec.putBody(TABLE, settings.host().value(), value))
                .thenAccept(
                        r -> {
                            if (r.isLeft() || !r.get().success()) {
                                thread.later(RETRY_PAUSE, this::register);
                            }
                        });
    }

    /**
     * Removes the row of this entry.
     *
     * @return completes when the store answered or the time was over
     */
    CompletableFuture<Either<Fault, HttpAnswer>> deregister() {
        return write(StoreCodec.removeBody(TABLE, settings.host().value()));
    }

    /** Reads the rows now and from time to time. */
    void follow() {
        String target = StoreCodec.readTarget(TABLE, "");
        http.call(ShortCall.get(settings.storeAddress(), target, CALL_LIMIT))
                .thenAccept(r -> thread.run(() -> read(r)));
    }

    /**
     * Takes a reading.
     *
     * @param result answer or fault
     */
    private void read(Either<Fault, HttpAnswer> result) {
        if (result.isLeft() || !result.get().success()) {
            thread.later(RETRY_PAUSE, this::follow);
            return;
        }
        try {
            for (TableRecord r : StoreCodec.decode(result.get().body(), true).rows()) {
                String[] words = new String(r.value(), StandardCharsets.UTF_8).split(" ");
                if (words.length == 2) {
                    entries.mentioned(words[0], new DomainId(words[1]), clock.instant());
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            Event.named("entry-rows-unreadable").with("reason", e.getMessage()).warn();
        }
        thread.later(READ_INTERVAL, this::follow);
    }

    /**
     * Sends a write.
     *
     * @param body body
     * @return answer or fault
     */
    private CompletableFuture<Either<Fault, HttpAnswer>> write(byte[] body) {
        return http.call(
                new ShortCall(
                        settings.storeAddress(),
                        HttpMethod.POST,
                        StoreCodec.writeTarget(),
                        body,
                        CALL_LIMIT));
    }
}
