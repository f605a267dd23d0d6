package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Engine;
import org.papayawalk.core.port.EngineStatus;
import org.papayawalk.core.rollout.SwitchCommand;
import org.papayawalk.core.weight.Manifest;

/** Client of a model engine over HTTP, see docs/PLATFORM.md. Thread-safe. */
public final class HttpEngine implements Engine {
    private static final String BASE_PATH = "/v1/engine";

    private final BlockingHttpClient http;

    private final String address;

    /**
     * Creates a client.
     *
     * @param http HTTP client for the requests
     * @param address IP address and port of the engine
     */
    public HttpEngine(BlockingHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, EngineStatus> status() {
        return requestStatus(ClientRequest.get("engine-status", address, BASE_PATH));
    }

    @Override
    public Either<Fault, EngineStatus> beginStaging(Digest digest, Manifest manifest) {
        return requestStatus(
                ClientRequest.post(
                        "engine-stage", address, BASE_PATH + "/staging/" + digest, manifest));
    }

    @Override
    public Either<Fault, Integer> stageChunk(Digest digest, long offset, byte[] data) {
        String path = "%s/staging/%s/bytes?offset=%d".formatted(BASE_PATH, digest, offset);
        ClientRequest request =
                new ClientRequest("engine-stage-chunk", address, "PUT", path, List.of(), data);
        return http.execute(request)
                .flatMap(r -> ResponseMapper.requireSuccess(request, r))
                .map(r -> data.length);
    }

    @Override
    public Either<Fault, Digest> seal(Digest digest) {
        ClientRequest request =
                ClientRequest.post(
                        "engine-seal", address, BASE_PATH + "/staging/" + digest + "/seal", digest);
        return http.execute(request)
                .flatMap(r -> ResponseMapper.readJson(request, r, new TypeReference<Digest>() {}));
    }

    @Override
    public Either<Fault, EngineStatus> switchVersion(SwitchCommand order) {
        EngineSwitchRequest change =
                new EngineSwitchRequest(order.expected(), order.target(), order.fencingNumber());
        return requestStatus(
                ClientRequest.post("engine-switch", address, BASE_PATH + "/switch", change));
    }

    private Either<Fault, EngineStatus> requestStatus(ClientRequest request) {
        return http.execute(request)
                .flatMap(
                        r ->
                                ResponseMapper.readJson(
                                        request, r, new TypeReference<EngineStatus>() {}));
    }
}
