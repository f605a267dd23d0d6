package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.port.HostList;

/** Host list over HTTP. Thread-safe. */
public final class HttpHostList implements HostList {
    /** Sends the requests. */
    private final BlockingHttpClient http;

    /** Address of the list. */
    private final String address;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param address IP number and port of the list
     */
    public HttpHostList(BlockingHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, List<HostRecord>> read() {
        ClientRequest call = ClientRequest.get("host-list", address, "/v1/hosts");
        return http.execute(call)
                .flatMap(
                        r ->
                                ResponseMapper.readJson(
                                        call, r, new TypeReference<List<HostRecord>>() {}));
    }
}
