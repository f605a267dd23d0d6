package org.papayawalk.lab.standin;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.port.TableRow;
import org.papayawalk.core.port.TableWrite;

/** Table service and object store that keep all data in memory. Thread-safe: one lock. */
public final class TableStandIn implements HttpRequestHandler {
    private static final String TABLES_PATH_PREFIX = "/v1/tables/";
    private static final String OBJECTS_PATH_PREFIX = "/v1/objects/";
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    // Rows by table and key.
    private final Map<String, TreeMap<String, TableRow>> tables = new TreeMap<>();

    private final Map<String, byte[]> objects = new TreeMap<>();

    // Revision of the last commit.
    private long revision;

    private long reads;

    // By table.
    private final Map<String, Long> rowsWritten = new TreeMap<>();

    /**
     * Returns the number of rows written to a table.
     *
     * @param table name of the table
     * @return 0 or more, since the creation of the stand-in
     */
    public synchronized long rowsWritten(String table) {
        return rowsWritten.getOrDefault(table, 0L);
    }

    /**
     * Returns the number of reads of a row or a range of rows.
     *
     * @return 0 or more, since the creation of the stand-in
     */
    public synchronized long reads() {
        return reads;
    }

    @Override
    public synchronized void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String path = HttpMessages.path(request);
        if (path.equals("/lab/counters")) {
            HttpMessages.writeJson(response, 200, Map.of("reads", reads, "writes", rowsWritten));
        } else if (path.equals("/v1/commit")) {
            commit(Json.read(HttpMessages.readBody(request), new TypeReference<>() {}), response);
        } else if (path.startsWith(TABLES_PATH_PREFIX)) {
            reads++;
            readRows(path.substring(TABLES_PATH_PREFIX.length()), request, response);
        } else if (path.startsWith(OBJECTS_PATH_PREFIX)) {
            handleObject(path.substring(OBJECTS_PATH_PREFIX.length()), request, response);
        } else {
            HttpMessages.writeError(
                    response, NOT_FOUND, "path \"%s\" does not exist".formatted(path));
        }
    }

    // Commits all writes, or none if the revision of one row differs from the expected one.
    private void commit(List<TableWrite> batch, ClassicHttpResponse response) {
        for (TableWrite w : batch) {
            TableRow row = table(w.table()).get(w.key());
            long found = row == null ? TableWrite.ABSENT : row.revision();
            if (found != w.expectedRevision()) {
                String reason = "row %s/%s has revision %d, expected %d";
                HttpMessages.writeError(
                        response,
                        CONFLICT,
                        reason.formatted(w.table(), w.key(), found, w.expectedRevision()));
                return;
            }
        }
        revision++;
        for (TableWrite w : batch) {
            rowsWritten.merge(w.table(), 1L, Long::sum);
            table(w.table()).put(w.key(), new TableRow(w.key(), revision, w.value()));
        }
        HttpMessages.writeJson(response, 200, revision);
    }

    private void readRows(String path, ClassicHttpRequest request, ClassicHttpResponse response) {
        String[] parts = path.split("/", 3);
        TreeMap<String, TableRow> table = table(parts[0]);
        if (parts.length == 3) {
            TableRow row = table.get(decode(parts[2]));
            if (row == null) {
                HttpMessages.writeError(
                        response, NOT_FOUND, "row \"%s\" does not exist".formatted(path));
            } else {
                HttpMessages.writeJson(response, 200, row);
            }
            return;
        }
        Map<String, String> query = HttpMessages.queryParameters(request);
        int limit = Integer.parseInt(query.getOrDefault("limit", "100"));
        String after = decode(query.getOrDefault("after", ""));
        List<TableRow> rows = new ArrayList<>();
        for (TableRow row : table.tailMap(after, false).values()) {
            if (rows.size() == limit) {
                break;
            }
            rows.add(row);
        }
        HttpMessages.writeJson(response, 200, rows);
    }

    private void handleObject(String name, ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException {
        if (request.getMethod().equals("PUT")) {
            objects.put(name, HttpMessages.readBody(request));
            HttpMessages.writeJson(response, 200, Map.of("name", name));
            return;
        }
        byte[] data = objects.get(name);
        if (data == null) {
            HttpMessages.writeError(
                    response, NOT_FOUND, "object \"%s\" does not exist".formatted(name));
        } else {
            HttpMessages.writeBytes(response, data);
        }
    }

    private TreeMap<String, TableRow> table(String name) {
        return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
