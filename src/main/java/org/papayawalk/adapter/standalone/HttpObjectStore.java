package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.port.ObjectStore;

/** Client of the object store over HTTP. Thread-safe. */
public final class HttpObjectStore implements ObjectStore {
    private final BlockingHttpClient http;

    private final String address;

    /**
     * Creates a client.
     *
     * @param http HTTP client for the requests
     * @param address IP address and port of the object store
     */
    public HttpObjectStore(BlockingHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, Integer> put(String name, byte[] data) {
        ClientRequest request =
                new ClientRequest(
                        "object-put", address, "PUT", "/v1/objects/" + name, List.of(), data);
        return http.execute(request)
                .flatMap(r -> ResponseMapper.requireSuccess(request, r))
                .map(r -> data.length);
    }

    @Override
    public Either<Fault, byte[]> get(String name) {
        ClientRequest request = ClientRequest.get("object-get", address, "/v1/objects/" + name);
        return http.execute(request)
                .flatMap(r -> ResponseMapper.requireSuccess(request, r))
                .map(ClientResponse::body);
    }
}
