package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Origin;

/** Origin over HTTP. Thread-safe. */
public final class HttpOrigin implements Origin {
    /** Sends the requests. */
    private final BlockingHttpClient http;

    /** Address of the origin. */
    private final String address;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param address IP number and port of the origin
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

    /**
     * Fetches bytes.
     *
     * @param call request
     * @return the body, or a fault
     */
    private Either<Fault, byte[]> fetch(ClientRequest call) {
        return http.execute(call)
                .flatMap(r -> ResponseMapper.requireSuccess(call, r))
                .map(ClientResponse::body);
    }
}
