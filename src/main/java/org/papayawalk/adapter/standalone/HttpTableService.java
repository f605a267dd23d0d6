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

/** Client of the table service over HTTP, see docs/PLATFORM.md. Thread-safe. */
public final class HttpTableService implements TableService {
    /** Status if the row does not exist. */
    private static final int STATUS_NOT_FOUND = 404;

    private final BlockingHttpClient http;

    private final String address;

    /**
     * Creates a client.
     *
     * @param http HTTP client for the requests
     * @param address IP address and port of the table service
     */
    public HttpTableService(BlockingHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public Either<Fault, Optional<TableRow>> read(String table, String key) {
        String path = "/v1/tables/%s/rows/%s".formatted(table, encode(key));
        ClientRequest request = ClientRequest.get("table-read", address, path);
        return http.execute(request)
                .flatMap(
                        response -> {
                            if (response.status() == STATUS_NOT_FOUND) {
                                return Either.right(Optional.empty());
                            }
                            return ResponseMapper.readJson(
                                            request, response, new TypeReference<TableRow>() {})
                                    .map(Optional::of);
                        });
    }

    @Override
    public Either<Fault, List<TableRow>> scan(String table, String afterKey, int limit) {
        String path = "/v1/tables/%s/rows?after=%s&limit=%d";
        ClientRequest request =
                ClientRequest.get(
                        "table-scan", address, path.formatted(table, encode(afterKey), limit));
        return http.execute(request)
                .flatMap(
                        r ->
                                ResponseMapper.readJson(
                                        request, r, new TypeReference<List<TableRow>>() {}));
    }

    @Override
    public Either<Fault, Long> commit(List<TableWrite> writes) {
        ClientRequest request = ClientRequest.post("table-commit", address, "/v1/commit", writes);
        return http.execute(request)
                .flatMap(r -> ResponseMapper.readJson(request, r, new TypeReference<Long>() {}));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
