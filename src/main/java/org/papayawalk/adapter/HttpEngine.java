package org.papayawalk.adapter;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Engine;
import org.papayawalk.core.port.EngineStatus;
import org.papayawalk.core.rollout.SwitchCommand;
import org.papayawalk.core.weight.Manifest;

/** Model engine over HTTP, as docs/PLATFORM.md describes it. Thread-safe. */
public final class HttpEngine implements Engine {
    /** Path of the engine's orders. */
    private static final String BASE = "/v1/engine";

    /** Sends the requests. */
    private final HttpCaller http;

    /** Address of the engine. */
    private final String address;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param address IP number and port of the engine
     */
    public HttpEngine(HttpCaller http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, EngineStatus> status() {
        return report(HttpCall.get("engine-status", address, BASE));
    }

    @Override
    public Either<Fault, EngineStatus> beginStaging(Digest digest, Manifest manifest) {
        return report(
                HttpCall.post("engine-stage", address, BASE + "/staging/" + digest, manifest));
    }

    @Override
    public Either<Fault, Integer> stageChunk(Digest digest, long offset, byte[] data) {
        String path = "%s/staging/%s/bytes?offset=%d".formatted(BASE, digest, offset);
        HttpCall call = new HttpCall("engine-stage-chunk", address, "PUT", path, List.of(), data);
        return http.call(call).flatMap(r -> HttpReplies.success(call, r)).map(r -> data.length);
    }

    @Override
    public Either<Fault, Digest> seal(Digest digest) {
        HttpCall call =
                HttpCall.post(
                        "engine-seal", address, BASE + "/staging/" + digest + "/seal", digest);
        return http.call(call)
                .flatMap(r -> HttpReplies.value(call, r, new TypeReference<Digest>() {}));
    }

    @Override
    public Either<Fault, EngineStatus> switchVersion(SwitchCommand order) {
        VersionChange change =
                new VersionChange(order.expected(), order.target(), order.fencingNumber());
        return report(HttpCall.post("engine-switch", address, BASE + "/switch", change));
    }

    /**
     * Sends a request that is answered with the engine's report.
     *
     * @param call request
     * @return the report, or a fault
     */
    private Either<Fault, EngineStatus> report(HttpCall call) {
        return http.call(call)
                .flatMap(r -> HttpReplies.value(call, r, new TypeReference<EngineStatus>() {}));
    }
}
