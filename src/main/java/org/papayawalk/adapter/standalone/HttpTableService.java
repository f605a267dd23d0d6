package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.Fault;
import org.papayawalk.core.port.TableRow;
import org.papayawalk.core.port.TableService;
import org.papayawalk.core.port.TableWrite;

/** Table service over HTTP, as docs/PLATFORM.md describes it. Thread-safe. */
public final class HttpTableService implements TableService {
    /** Status of a row that does not exist. */
    private static final int STATUS_NOT_FOUND = 404;

    /** Sends the requests. */
    private final BlockingHttpClient http;

    /** Address of the service. */
    private final String address;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param address IP number and port of the service
     */
    public HttpTableService(BlockingHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, Optional<TableRow>> read(String table, String key) {
        String path = "/v1/tables/%s/rows/%s".formatted(table, encode(key));
        ClientRequest call = ClientRequest.get("table-read", address, path);
        return http.execute(call)
                .flatMap(
                        reply -> {
                            if (reply.status() == STATUS_NOT_FOUND) {
                                return Either.right(Optional.empty());
                            }
                            return ResponseMapper.readJson(
                                            call, reply, new TypeReference<TableRow>() {})
                                    .map(Optional::of);
                        });
    }

    @Override
    public Either<Fault, List<TableRow>> scan(String table, String afterKey, int limit) {
        String path = "/v1/tables/%s/rows?after=%s&limit=%d";
        ClientRequest call =
                ClientRequest.get(
                        "table-scan", address, path.formatted(table, encode(afterKey), limit));
        return http.execute(call)
                .flatMap(
                        r ->
                                ResponseMapper.readJson(
                                        call, r, new TypeReference<List<TableRow>>() {}));
    }

    @Override
    public Either<Fault, Long> commit(List<TableWrite> writes) {
        ClientRequest call = ClientRequest.post("table-commit", address, "/v1/commit", writes);
        return http.execute(call)
                .flatMap(r -> ResponseMapper.readJson(call, r, new TypeReference<Long>() {}));
    }

    /**
     * Encodes a part of a path.
     *
     * @param text text to encode
     * @return encoded text
     */
    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
