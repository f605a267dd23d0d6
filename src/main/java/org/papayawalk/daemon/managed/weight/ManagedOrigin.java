package org.papayawalk.daemon.managed.weight;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.OriginSpec;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Origin;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.agent.ManifestReader;
import org.papayawalk.daemon.site.SiteView;
import org.papayawalk.http.HttpAnswer;
import org.papayawalk.http.HttpClient;
import org.papayawalk.http.ShortCall;
import org.papayawalk.platform.EngineCodec;

/**
 * Origin of weights on the users' platform. It may send wrong bytes; a manifest counts only if two
 * readings agree, and chunks are checked against it. Thread-safe; calls block.
 */
public final class ManagedOrigin implements Origin, ManifestReader {
    /** Longest time of a call. */
    private static final Duration CALL_LIMIT = Duration.ofSeconds(2);

    /** Client. */
    private final HttpClient http;

    /** Present view of the site. */
    private final Supplier<SiteView> view;

    /** Versions by their names among agents. */
    private final Map<Digest, WeightVersion> versions = new ConcurrentHashMap<>();

    /**
     * Creates an origin.
     *
     * @param http client
     * @param view present view of the site
     */
    public ManagedOrigin(HttpClient http, Supplier<SiteView> view) {
        this.http = http;
        this.view = view;
    }

    /**
     * Makes a version known.
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
            return Either.left(unknown("read-manifest", digest));
        }
        String target = EngineCodec.manifestTarget(version.model(), version.number());
        return read("read-manifest", target)
                .flatMap(
                        first ->
                                read("read-manifest", target)
                                        .filterOrElse(
                                                second -> Arrays.equals(first, second),
                                                second ->
                                                        new Fault(
                                                                FaultKind.CORRUPT,
                                                                "read-manifest",
                                                                "origin",
                                                                "two readings differ")));
    }

    @Override
    public Either<Fault, byte[]> chunk(Digest digest, int index) {
        WeightVersion version = versions.get(digest);
        if (version == null) {
            return Either.left(unknown("read-chunk", digest));
        }
        return read(
                "read-chunk", EngineCodec.chunkTarget(version.model(), version.number(), index));
    }

    @Override
    public Either<Fault, Manifest> read(byte[] data, Digest digest, String source) {
        WeightVersion version = versions.get(digest);
        if (version == null) {
            return Either.left(unknown("read-manifest", digest));
        }
        try {
            return Either.right(EngineCodec.manifest(data, version.model(), version.number()));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-manifest", source, e));
        }
    }

    /**
     * Calls the origin.
     *
     * @param step what is being done
     * @param target path and query
     * @return body or fault
     */
    private Either<Fault, byte[]> read(String step, String target) {
        String address =
                view.get()
                        .desired()
                        .flatMap(DesiredState::origin)
                        .map(OriginSpec::address)
                        .orElse("");
        if (address.isEmpty()) {
            return Either.left(
                    new Fault(FaultKind.REFUSED, step, "origin", "no origin is known yet"));
        }
        Either<Fault, HttpAnswer> answer =
                http.call(ShortCall.get(address, target, CALL_LIMIT)).join();
        return answer.filterOrElse(
                        HttpAnswer::success,
                        a ->
                                new Fault(
                                        FaultKind.REFUSED,
                                        step,
                                        address,
                                        target + " gave status " + a.status()))
                .map(HttpAnswer::body);
    }

    /**
     * Makes the fault of a version that is not known.
     *
     * @param step what is being done
     * @param digest name of the version
     * @return fault
     */
    private static Fault unknown(String step, Digest digest) {
        return new Fault(
                FaultKind.REFUSED, step, "origin", "version " + digest + " is not known here");
    }
}
