package org.papayawalk.daemon.managed.agent;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.daemon.standalone.agent.StagingArea;
import org.papayawalk.http.HttpAnswer;
import org.papayawalk.http.HttpClient;
import org.papayawalk.http.ShortCall;
import org.papayawalk.log.Event;
import org.papayawalk.platform.EngineCodec;

/** Model engine on the same machine. Thread-safe; calls block. */
final class LocalEngine implements StagingArea {
    /** Longest time of a call. */
    private static final Duration CALL_LIMIT = Duration.ofMillis(1500);

    /** Status of an order that does not fit the engine's state. */
    private static final int CONFLICT = 409;

    /** Client. */
    private final HttpClient http;

    /** Address of the engine. */
    private final String address;

    /** Kept for reading while a chunk is staged, so that staging can be stopped for certain. */
    private final ReadWriteLock staging = new ReentrantReadWriteLock();

    /** Orders for which staging is stopped. */
    private final AtomicInteger stops = new AtomicInteger();

    /** Whether staging is held back, because what is staged is to be loaded first. */
    private volatile boolean holdsStaging;

    /**
     * Creates an engine.
     *
     * @param http client
     * @param address IP number and port
     */
    LocalEngine(HttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public void reset() {
        // Chunks are named by their index alone; a new version overwrites the old one.
    }

    @Override
    public boolean write(Digest digest, Manifest manifest, int index, byte[] data) {
        if (!staging.readLock().tryLock()) {
            return false;
        }
        try {
            return !holdsStaging && stops.get() == 0 && repair(manifest, index, data);
        } finally {
            staging.readLock().unlock();
        }
    }

    /**
     * Stops staging and waits until no chunk is on its way, because the engine loads what is staged
     * at the moment at which it takes an order.
     */
    void stopStaging() {
        stops.incrementAndGet();
        staging.writeLock().lock();
        staging.writeLock().unlock();
    }

    /** Lets staging go on, if no other order needs it stopped. */
    void resumeStaging() {
        stops.decrementAndGet();
    }

    /**
     * Stages a chunk, also while staging is held back.
     *
     * @param manifest manifest of the version
     * @param index index of the chunk
     * @param data verified bytes
     * @return true if the engine took it
     */
    boolean repair(Manifest manifest, int index, byte[] data) {
        String target = EngineCodec.stageTarget(manifest.model(), index);
        return call(new ShortCall(address, HttpMethod.PUT, target, data, CALL_LIMIT))
                .peekLeft(f -> Event.named("stage-failed").with("fault", f).warn())
                .isRight();
    }

    @Override
    public Optional<byte[]> read(Manifest manifest, int index) {
        String target = EngineCodec.stagedTarget(manifest.model(), index);
        return call(ShortCall.get(address, target, CALL_LIMIT))
                .map(HttpAnswer::body)
                .toJavaOptional();
    }

    /**
     * Holds staging back, or lets it go on.
     *
     * @param hold whether to hold it back
     */
    void holdStaging(boolean hold) {
        holdsStaging = hold;
    }

    /**
     * Tells whether staging is held back.
     *
     * @return true if it is
     */
    boolean holdsStaging() {
        return holdsStaging;
    }

    /**
     * Asks for the report.
     *
     * @return report or fault
     */
    Either<Fault, EngineReport> report() {
        return call(ShortCall.get(address, EngineCodec.REPORT_TARGET, CALL_LIMIT))
                .flatMap(
                        a -> {
                            try {
                                return Either.right(EngineCodec.report(a.body()));
                            } catch (IOException e) {
                                return Either.left(
                                        Fault.of(FaultKind.CORRUPT, "read-report", address, e));
                            }
                        });
    }

    /**
     * Orders the engine to load what is staged.
     *
     * @param version version that is staged
     * @param ordersSeen orders that the engine had accepted when its state was read
     * @return true if the engine took the order, false if its state has changed meanwhile
     */
    Either<Fault, Boolean> load(WeightVersion version, long ordersSeen) {
        byte[] body = EngineCodec.loadOrder(version.model(), version.number(), ordersSeen);
        ShortCall order =
                new ShortCall(address, HttpMethod.POST, EngineCodec.ORDER_TARGET, body, CALL_LIMIT);
        Either<Fault, HttpAnswer> answer = http.call(order).join();
        if (answer.isRight() && answer.get().status() == CONFLICT) {
            return Either.right(false);
        }
        return answer.flatMap(a -> accepted(order, a)).map(a -> true);
    }

    /**
     * Sends a call.
     *
     * @param call call
     * @return answer with success, or fault
     */
    private Either<Fault, HttpAnswer> call(ShortCall call) {
        return http.call(call).join().flatMap(a -> accepted(call, a));
    }

    /**
     * Turns an answer without success into a fault.
     *
     * @param call call
     * @param answer answer
     * @return answer with success, or fault
     */
    private static Either<Fault, HttpAnswer> accepted(ShortCall call, HttpAnswer answer) {
        if (answer.success()) {
            return Either.right(answer);
        }
        return Either.left(
                new Fault(
                        FaultKind.REFUSED,
                        call.method() + " " + call.target(),
                        call.address(),
                        "status " + answer.status()));
    }
}
