package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Origin;

/** Client of the origin over HTTP. Thread-safe. */
public final class HttpOrigin implements Origin {
    private final BlockingHttpClient http;

    private final String address;

    /**
     * Creates a client.
     *
     * @param http HTTP client for the requests
     * @param address IP address and port of the origin
     */
    public HttpOrigin(BlockingHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, byte[]> manifest(Digest digest) {
        return fetch(ClientRequest.get("origin-manifest", address, "/v1/versions/" + digest));
    }

    @Override
    public Either<Fault, byte[]> chunk(Digest digest, int index) {
        String path = "/v1/versions/%s/chunks/%d".formatted(digest, index);
        return fetch(ClientRequest.get("origin-chunk", address, path));
    }

    private Either<Fault, byte[]> fetch(ClientRequest request) {
        return http.execute(request)
                .flatMap(r -> ResponseMapper.requireSuccess(request, r))
                .map(ClientResponse::body);
    }
}
