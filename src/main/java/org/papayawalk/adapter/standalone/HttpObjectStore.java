package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.port.ObjectStore;

/** Object store over HTTP. Thread-safe. */
public final class HttpObjectStore implements ObjectStore {
    /** Sends the requests. */
    private final BlockingHttpClient http;

    /** Address of the store. */
    private final String address;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param address IP number and port of the store
     */
    public HttpObjectStore(BlockingHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, Integer> put(String name, byte[] data) {
        ClientRequest call =
                new ClientRequest(
                        "object-put", address, "PUT", "/v1/objects/" + name, List.of(), data);
        return http.execute(call)
                .flatMap(r -> ResponseMapper.requireSuccess(call, r))
                .map(r -> data.length);
    }

    @Override
    public Either<Fault, byte[]> get(String name) {
        ClientRequest call = ClientRequest.get("object-get", address, "/v1/objects/" + name);
        return http.execute(call)
                .flatMap(r -> ResponseMapper.requireSuccess(call, r))
                .map(ClientResponse::body);
    }
}
