package org.papayawalk.adapter;

import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.port.ObjectStore;

/** Object store over HTTP. Thread-safe. */
public final class HttpObjectStore implements ObjectStore {
    /** Sends the requests. */
    private final HttpCaller http;

    /** Address of the store. */
    private final String address;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param address IP number and port of the store
     */
    public HttpObjectStore(HttpCaller http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, Integer> put(String name, byte[] data) {
        HttpCall call =
                new HttpCall("object-put", address, "PUT", "/v1/objects/" + name, List.of(), data);
        return http.call(call).flatMap(r -> HttpReplies.success(call, r)).map(r -> data.length);
    }

    @Override
    public Either<Fault, byte[]> get(String name) {
        HttpCall call = HttpCall.get("object-get", address, "/v1/objects/" + name);
        return http.call(call).flatMap(r -> HttpReplies.success(call, r)).map(HttpReply::body);
    }
}
