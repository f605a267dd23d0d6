package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.port.HostList;

/** Client of the host list over HTTP. Thread-safe. */
public final class HttpHostList implements HostList {
    private final BlockingHttpClient http;

    private final String address;

    /**
     * Creates a client.
     *
     * @param http HTTP client for the requests
     * @param address IP address and port of the host list
     */
    public HttpHostList(BlockingHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, List<HostRecord>> read() {
        ClientRequest request = ClientRequest.get("host-list", address, "/v1/hosts");
        return http.execute(request)
                .flatMap(r -> ResponseMapper.requireSuccess(request, r))
                .flatMap(r -> decode(request, r));
    }

    private static Either<Fault, List<HostRecord>> decode(
            ClientRequest request, ClientResponse response) {
        try {
            return Either.right(HostListCodec.read(response.body()));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, request.step(), request.address(), e));
        }
    }
}
