package org.papayawalk.daemon.managed.agent;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.AnsweredTime;
import org.papayawalk.core.weight.EarlierWrites;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.core.weight.OpenWrites;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.daemon.swarm.StagingArea;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.log.Event;
import org.papayawalk.platform.EngineCodec;

/**
 * Client of the model engine on the same host. The engine may send a response once more, which
 * would pass for that to the next request on the connection. Only reports share a connection; each
 * other call has its own, as its response does not tell what it responds to. Thread-safe; calls
 * block.
 */
final class LocalEngine implements StagingArea {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

    private static final int STATUS_CONFLICT = 409;

    private static final int STATUS_NOT_FOUND = 404;

    // Failures that do not tell whether the engine accepted an order or executes a write.
    private static final Set<Integer> STATUSES_WITHOUT_OUTCOME = Set.of(500, 502, 504);

    private final AsyncHttpClient http;

    private final String address;

    private final InstantSource clock;

    private final AnsweredTime answeredTime = new AnsweredTime();

    private final OpenWrites openWrites = new OpenWrites();

    // The read lock is held while a chunk is staged; the write lock waits for chunks in flight.
    private final ReadWriteLock stagingLock = new ReentrantReadWriteLock();

    // Load orders in progress, each of which stops staging.
    private final AtomicInteger stagingStops = new AtomicInteger();

    // Set while a staged version has to be loaded before a newer one may be staged.
    private volatile boolean stagingHeld;

    // Empty before the first report.
    private volatile Optional<EngineReport> lastReport = Optional.empty();

    /**
     * Creates a client.
     *
     * @param http HTTP client
     * @param address IP address and port of the engine
     * @param clock monotonic clock
     */
    LocalEngine(AsyncHttpClient http, String address, InstantSource clock) {
        this.http = http;
        this.address = address;
        this.clock = clock;
    }

    @Override
    public void reset() {
        // Chunks are named by their index alone, so a new version overwrites the old one.
    }

    @Override
    public boolean write(Digest digest, Manifest manifest, int index, byte[] data) {
        if (!stagingLock.readLock().tryLock()) {
            return false;
        }
        try {
            return !stagingHeld && stagingStops.get() == 0 && stage(manifest, index, data);
        } finally {
            stagingLock.readLock().unlock();
        }
    }

    /**
     * Stops staging and blocks until no chunk is in flight. The engine loads what is staged at the
     * moment at which it accepts an order, so nothing may be staged meanwhile.
     */
    void stopStaging() {
        stagingStops.incrementAndGet();
        stagingLock.writeLock().lock();
        stagingLock.writeLock().unlock();
    }

    /** Reverts one call of {@link #stopStaging()}. Staging resumes once all calls are reverted. */
    void resumeStaging() {
        stagingStops.decrementAndGet();
    }

    /**
     * Stages a chunk, even while staging is stopped or held.
     *
     * @param manifest manifest of the version
     * @param index index of the chunk
     * @param data verified bytes
     * @return true if the engine accepted it
     */
    boolean stage(Manifest manifest, int index, byte[] data) {
        String target = EngineCodec.stageChunkTarget(manifest.model(), index);
        AsyncHttpRequest write =
                new AsyncHttpRequest(address, HttpMethod.PUT, target, data, CALL_TIMEOUT);
        return http.sendOnOwnConnection(write)
                .join()
                .flatMap(a -> requireOutcome(write, a))
                .flatMap(a -> requireSuccess(write, a))
                .peekLeft(f -> recordFailedWrite(manifest, index, f))
                .isRight();
    }

    /**
     * Returns whether a write that was not answered may still replace a chunk of a version.
     *
     * @param manifest manifest of the version
     * @return true if a verification of the version proves nothing yet
     */
    boolean hasOpenWrites(Manifest manifest) {
        return openWrites.maySpoil(manifest, answeredTime());
    }

    /**
     * Records writes that an earlier process of this agent may have left open.
     *
     * @param writes writes of that process, as far as they are known now
     */
    void recordEarlierWrites(EarlierWrites writes) {
        openWrites.addEarlier(writes);
    }

    /**
     * Returns the time by which open calls to the engine end, see {@link AnsweredTime}.
     *
     * @return time up to the last report
     */
    Instant answeredTime() {
        return answeredTime.present();
    }

    private void recordReport(EngineReport report) {
        answeredTime.answered(clock.instant());
        boolean restarted =
                lastReport.filter(r -> r.incarnation() != report.incarnation()).isPresent();
        if (restarted) {
            openWrites.engineRestarted();
        }
        lastReport = Optional.of(report);
    }

    private void recordFailedWrite(Manifest manifest, int index, Fault fault) {
        Event.named("stage-failed").with("fault", fault).warn();
        if (fault.kind() == FaultKind.UNKNOWN_OUTCOME) {
            openWrites.add(index, manifest.chunks().get(index), answeredTime());
        }
    }

    @Override
    public Optional<byte[]> read(Manifest manifest, int index) {
        return readStaged(manifest, index).getOrElse(Optional.empty());
    }

    /**
     * Reads a staged chunk.
     *
     * @param manifest manifest of a version of the model
     * @param index index of the chunk
     * @return unverified bytes, empty if the engine says that none are staged; fault if it is not
     *     known what is staged
     */
    Either<Fault, Optional<byte[]>> readStaged(Manifest manifest, int index) {
        return startRead(manifest, index).join();
    }

    /**
     * Starts to read a staged chunk. Does not block.
     *
     * @param manifest manifest of a version of the model
     * @param index index of the chunk
     * @return result as of {@link #readStaged}
     */
    CompletableFuture<Either<Fault, Optional<byte[]>>> startRead(Manifest manifest, int index) {
        String target = EngineCodec.stagedChunkTarget(manifest.model(), index);
        AsyncHttpRequest call = AsyncHttpRequest.get(address, target, CALL_TIMEOUT);
        return http.sendOnOwnConnection(call).thenApply(a -> decodeChunk(call, a));
    }

    private static Either<Fault, Optional<byte[]>> decodeChunk(
            AsyncHttpRequest call, Either<Fault, AsyncHttpResponse> answer) {
        if (answer.isRight() && answer.get().status() == STATUS_NOT_FOUND) {
            return Either.right(Optional.empty());
        }
        return answer.flatMap(a -> requireSuccess(call, a)).map(a -> Optional.of(a.body()));
    }

    /**
     * Holds staging, or ends the hold. Independent of {@link #stopStaging()}.
     *
     * @param hold whether staging is held
     */
    void holdStaging(boolean hold) {
        stagingHeld = hold;
    }

    /**
     * Returns whether staging is held.
     *
     * @return true between the start and the end of a hold
     */
    boolean stagingHeld() {
        return stagingHeld;
    }

    /**
     * Reads the state of the engine. A report that is older than the last one is read again over a
     * connection of its own: the engine may have sent it once more.
     *
     * @return report, or fault
     */
    Either<Fault, EngineReport> report() {
        AsyncHttpRequest call =
                AsyncHttpRequest.get(address, EngineCodec.REPORT_TARGET, CALL_TIMEOUT);
        return http.send(call)
                .join()
                .flatMap(a -> decodeReport(call, a))
                .flatMap(
                        r ->
                                isOutdated(r)
                                        ? http.sendOnOwnConnection(call)
                                                .join()
                                                .flatMap(a -> decodeReport(call, a))
                                        : Either.right(r))
                .peek(this::recordReport);
    }

    // Orders are forgotten only with a restart, which changes the incarnation.
    private boolean isOutdated(EngineReport report) {
        return lastReport
                .filter(r -> r.incarnation() == report.incarnation())
                .filter(r -> r.orders() > report.orders())
                .isPresent();
    }

    private static Either<Fault, EngineReport> decodeReport(
            AsyncHttpRequest call, AsyncHttpResponse answer) {
        return requireSuccess(call, answer)
                .flatMap(
                        a -> {
                            try {
                                return Either.right(EngineCodec.decodeReport(a.body()));
                            } catch (IOException e) {
                                return Either.left(
                                        Fault.of(
                                                FaultKind.CORRUPT,
                                                "read-report",
                                                call.address(),
                                                e));
                            }
                        });
    }

    /**
     * Returns the last state of the engine that was read.
     *
     * @return report, empty before the first one
     */
    Optional<EngineReport> lastReport() {
        return lastReport;
    }

    /**
     * Orders the engine to load what is staged. The order names the state of the engine that it is
     * based on; the engine refuses it with status 409 if that state has changed.
     *
     * @param version staged version
     * @param ordersSeen number of orders that the engine had accepted when its state was read
     * @return true if the engine accepted the order, false if its state had changed; a fault of
     *     kind {@code REFUSED} if it refused the order, of another kind if the outcome is unknown
     */
    Either<Fault, Boolean> load(WeightVersion version, long ordersSeen) {
        byte[] body = EngineCodec.encodeLoadOrder(version.model(), version.number(), ordersSeen);
        AsyncHttpRequest loadCall =
                new AsyncHttpRequest(
                        address,
                        HttpMethod.POST,
                        EngineCodec.LOAD_ORDER_TARGET,
                        body,
                        CALL_TIMEOUT);
        Either<Fault, AsyncHttpResponse> answer = http.sendOnOwnConnection(loadCall).join();
        if (answer.isRight() && answer.get().status() == STATUS_CONFLICT) {
            return Either.right(false);
        }
        return answer.flatMap(a -> requireOutcome(loadCall, a))
                .flatMap(a -> requireSuccess(loadCall, a))
                .map(a -> true);
    }

    private static Either<Fault, AsyncHttpResponse> requireOutcome(
            AsyncHttpRequest call, AsyncHttpResponse answer) {
        if (!STATUSES_WITHOUT_OUTCOME.contains(answer.status())) {
            return Either.right(answer);
        }
        return Either.left(statusFault(FaultKind.UNKNOWN_OUTCOME, call, answer));
    }

    private static Either<Fault, AsyncHttpResponse> requireSuccess(
            AsyncHttpRequest call, AsyncHttpResponse answer) {
        if (answer.isSuccess()) {
            return Either.right(answer);
        }
        return Either.left(statusFault(FaultKind.REFUSED, call, answer));
    }

    private static Fault statusFault(
            FaultKind kind, AsyncHttpRequest call, AsyncHttpResponse answer) {
        String step = call.method() + " " + call.target();
        return new Fault(kind, step, call.address(), "HTTP status " + answer.status());
    }
}
