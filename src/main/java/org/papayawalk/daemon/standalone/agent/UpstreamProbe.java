package org.papayawalk.daemon.standalone.agent;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.InstantSource;
import java.util.Map;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.ClientRequest;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;

/** Health probe of an upstream, either a model engine or a service. Thread-safe. */
public final class UpstreamProbe {
    private final BlockingHttpClient http;

    private final String address;

    private final InstantSource clock;

    /**
     * Creates a probe.
     *
     * @param http sends the probes
     * @param address IP address and port of the upstream
     * @param clock clock
     */
    public UpstreamProbe(BlockingHttpClient http, String address, InstantSource clock) {
        this.http = http;
        this.address = address;
        this.clock = clock;
    }

    /**
     * Sends a probe and waits for the response.
     *
     * @return state of the upstream as of now, or a fault
     */
    public Either<Fault, UpstreamState> query() {
        ClientRequest call = ClientRequest.get("upstream-health", address, "/v1/health");
        return http.execute(call)
                .flatMap(
                        reply -> {
                            try {
                                Map<String, Object> health =
                                        Json.read(reply.body(), new TypeReference<>() {});
                                long incarnation = ((Number) health.get("incarnation")).longValue();
                                Object serving = health.getOrDefault("serving", "");
                                Digest digest = new Digest(String.valueOf(serving));
                                return Either.right(
                                        new UpstreamState(incarnation, digest, clock.instant()));
                            } catch (IOException | RuntimeException e) {
                                return Either.left(
                                        Fault.of(
                                                FaultKind.CORRUPT, call.step(), call.address(), e));
                            }
                        });
    }
}
