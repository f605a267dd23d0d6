package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
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
                .flatMap(
                        r ->
                                ResponseMapper.readJson(
                                        request, r, new TypeReference<List<HostRecord>>() {}));
    }
}
