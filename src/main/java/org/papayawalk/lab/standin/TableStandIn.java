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
import org.papayawalk.adapter.Json;
import org.papayawalk.core.port.TableRow;
import org.papayawalk.core.port.TableWrite;

/** Table service in memory, with objects beside the tables. Thread-safe: one lock. */
public final class TableStandIn implements HttpRequestHandler {
    /** Start of the paths of tables. */
    private static final String TABLES_PATH_PREFIX = "/v1/tables/";

    /** Start of the paths of objects. */
    private static final String OBJECTS_PATH_PREFIX = "/v1/objects/";

    /** Status of something that does not exist. */
    private static final int NOT_FOUND = 404;

    /** Status of a failed condition. */
    private static final int CONFLICT = 409;

    /** Rows by table and key. */
    private final Map<String, TreeMap<String, TableRow>> tables = new TreeMap<>();

    /** Objects by name. */
    private final Map<String, byte[]> objects = new TreeMap<>();

    /** Revision of the last commit. */
    private long revision;

    /** Reads answered. */
    private long reads;

    /** Rows written, by table. */
    private final Map<String, Long> rowsWritten = new TreeMap<>();

    /**
     * Returns the rows written to a table.
     *
     * @param table name of the table
     * @return number since the start
     */
    public synchronized long rowsWritten(String table) {
        return rowsWritten.getOrDefault(table, 0L);
    }

    /**
     * Returns the reads answered.
     *
     * @return number since the start
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
            HttpMessages.writeError(response, NOT_FOUND, "path " + path + " does not exist");
        }
    }

    /**
     * Commits writes, all or none.
     *
     * @param batch writes
     * @param response response to fill
     */
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

    /**
     * Reads a row or a range of rows.
     *
     * @param path path below the tables
     * @param request request
     * @param response response to fill
     */
    private void readRows(String path, ClassicHttpRequest request, ClassicHttpResponse response) {
        String[] parts = path.split("/", 3);
        TreeMap<String, TableRow> table = table(parts[0]);
        if (parts.length == 3) {
            TableRow row = table.get(decode(parts[2]));
            if (row == null) {
                HttpMessages.writeError(response, NOT_FOUND, "row " + path + " does not exist");
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

    /**
     * Reads or writes an object.
     *
     * @param name name of the object
     * @param request request
     * @param response response to fill
     * @throws IOException if the connection was lost
     */
    private void handleObject(String name, ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException {
        if (request.getMethod().equals("PUT")) {
            objects.put(name, HttpMessages.readBody(request));
            HttpMessages.writeJson(response, 200, Map.of("name", name));
            return;
        }
        byte[] data = objects.get(name);
        if (data == null) {
            HttpMessages.writeError(response, NOT_FOUND, "object " + name + " does not exist");
        } else {
            HttpMessages.writeBytes(response, data);
        }
    }

    /**
     * Returns a table.
     *
     * @param name name of the table
     * @return table, new if it was unknown
     */
    private TreeMap<String, TableRow> table(String name) {
        return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    /**
     * Decodes a part of a path.
     *
     * @param text encoded text
     * @return text
     */
    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
