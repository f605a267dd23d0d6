package org.papayawalk.daemon.managed.weight;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.OriginSpec;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Origin;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.PlatformSnapshot;
import org.papayawalk.daemon.swarm.ManifestParser;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.platform.EngineCodec;

/**
 * Client of the origin of weights on the managed platform. The origin may send wrong bytes: a
 * manifest is accepted only if two reads return the same bytes, and chunks are verified against the
 * manifest after they were received. Each read has a connection of its own, as the origin may send
 * a response once more and that does not tell what it responds to. Only registered versions can be
 * read. Thread-safe; calls block.
 */
public final class ManagedOrigin implements Origin, ManifestParser {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final AsyncHttpClient http;

    /** Supplies the present snapshot, whose desired state has the address of the origin. */
    private final Supplier<PlatformSnapshot> snapshot;

    /** Registered versions, by the digest that identifies them in messages. */
    private final Map<Digest, WeightVersion> versions = new ConcurrentHashMap<>();

    /**
     * Creates a client without registered versions.
     *
     * @param http HTTP client
     * @param snapshot supplies the present snapshot
     */
    public ManagedOrigin(AsyncHttpClient http, Supplier<PlatformSnapshot> snapshot) {
        this.http = http;
        this.snapshot = snapshot;
    }

    /**
     * Registers a version, so that it can be read by its digest. Registering it again has no
     * effect.
     *
     * @param version version
     */
    public void register(WeightVersion version) {
        versions.put(version.digest(), version);
    }

    @Override
    public Either<Fault, byte[]> manifest(Digest digest) {
        WeightVersion version = versions.get(digest);
        if (version == null) {
            return Either.left(unknownVersion("read-manifest", digest));
        }
        String target = EngineCodec.manifestTarget(version.model(), version.number());
        CompletableFuture<Either<Fault, byte[]>> first = start("read-manifest", target);
        Either<Fault, byte[]> second = start("read-manifest", target).join();
        return first.join()
                .flatMap(
                        f ->
                                second.filterOrElse(
                                        s -> Arrays.equals(f, s),
                                        s ->
                                                new Fault(
                                                        FaultKind.CORRUPT,
                                                        "read-manifest",
                                                        "origin",
                                                        "two reads of "
                                                                + target
                                                                + " returned different bytes")));
    }

    @Override
    public Either<Fault, byte[]> chunk(Digest digest, int index) {
        WeightVersion version = versions.get(digest);
        if (version == null) {
            return Either.left(unknownVersion("read-chunk", digest));
        }
        String target = EngineCodec.chunkTarget(version.model(), version.number(), index);
        return start("read-chunk", target).join();
    }

    @Override
    public Either<Fault, Manifest> parse(byte[] data, Digest digest, String source) {
        WeightVersion version = versions.get(digest);
        if (version == null) {
            return Either.left(unknownVersion("read-manifest", digest));
        }
        try {
            return Either.right(
                    EngineCodec.decodeManifest(data, version.model(), version.number()));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-manifest", source, e));
        }
    }

    private CompletableFuture<Either<Fault, byte[]>> start(String step, String target) {
        String address =
                snapshot.get()
                        .desired()
                        .flatMap(DesiredState::origin)
                        .map(OriginSpec::address)
                        .orElse("");
        if (address.isEmpty()) {
            String reason = "no desired state with an origin address was received yet";
            return CompletableFuture.completedFuture(
                    Either.left(new Fault(FaultKind.REFUSED, step, "origin", reason)));
        }
        return http.sendOnOwnConnection(AsyncHttpRequest.get(address, target, CALL_TIMEOUT))
                .thenApply(answer -> body(step, address, target, answer));
    }

    private static Either<Fault, byte[]> body(
            String step, String address, String target, Either<Fault, AsyncHttpResponse> answer) {
        return answer.filterOrElse(
                        AsyncHttpResponse::isSuccess,
                        a ->
                                new Fault(
                                        FaultKind.REFUSED,
                                        step,
                                        address,
                                        "GET %s returned status %d, expected success"
                                                .formatted(target, a.status())))
                .map(AsyncHttpResponse::body);
    }

    private static Fault unknownVersion(String step, Digest digest) {
        return new Fault(
                FaultKind.REFUSED,
                step,
                "origin",
                "no version with digest " + digest + " is registered");
    }
}
