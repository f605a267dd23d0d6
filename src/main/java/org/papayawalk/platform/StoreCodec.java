package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableUpdate;

/** Calls and answers of the platform's store. Holds no state; safe from any thread. */
public final class StoreCodec {
    /** Table of the operator. */
    public static final String OPERATOR_TABLE = "op";

    /** Table in which servers register. */
    public static final String SERVER_TABLE = "servers";

    /** Key of the desired state in the operator's table. */
    public static final String DESIRED_STATE_KEY = "config";

    /** Start of the keys under which versions of weights are named. */
    private static final String VERSION_KEY_PREFIX = "version/";

    /** Rows of one answer. */
    private static final int PAGE_ROWS = 500;

    /** Prevents instances. */
    private StoreCodec() {}

    /**
     * Returns the call that waits for changes of a table.
     *
     * @param table name of the table
     * @param after version that is known
     * @param wait longest time to wait
     * @return path and query
     */
    public static String changesTarget(String table, long after, Duration wait) {
        return "/rows-feed?table=" + table + "&after=" + after + "&waitMs=" + wait.toMillis();
    }

    /**
     * Returns the call that reads a table.
     *
     * @param table name of the table
     * @param from first key to read, empty for all
     * @return path and query
     */
    public static String readTarget(String table, String from) {
        String start =
                from.isEmpty() ? "" : "&from=" + URLEncoder.encode(from, StandardCharsets.UTF_8);
        return "/rows-get?table=" + table + "&part=" + start + "&limit=" + PAGE_ROWS;
    }

    /**
     * Returns the path of a write.
     *
     * @return path
     */
    public static String writeTarget() {
        return "/rows-tx";
    }

    /**
     * Encodes the write of one row without a condition.
     *
     * @param table name of the table
     * @param key key of the row
     * @param value bytes of the row
     * @return body
     */
    public static byte[] putBody(String table, String key, byte[] value) {
        ObjectNode root = JsonTree.MAPPER.createObjectNode();
        root.putArray("expectedRev");
        ArrayNode puts = root.putArray("upserts");
        addRow(puts, table, key).put("value", Base64.getEncoder().encodeToString(value));
        root.putArray("remove");
        return JsonTree.write(root);
    }

    /**
     * Encodes the removal of one row.
     *
     * @param table name of the table
     * @param key key of the row
     * @return body
     */
    public static byte[] removeBody(String table, String key) {
        ObjectNode root = JsonTree.MAPPER.createObjectNode();
        root.putArray("expectedRev");
        root.putArray("upserts");
        addRow(root.putArray("remove"), table, key);
        return JsonTree.write(root);
    }

    /**
     * Decodes an answer with rows.
     *
     * @param data body
     * @param whole whether the answer holds all rows of the table
     * @return rows of the empty partition
     * @throws IOException if the body is not such an answer
     */
    public static TableUpdate decode(byte[] data, boolean whole) throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        if (!root.path("ver").isIntegralNumber()) {
            throw new IOException("store answer has no version");
        }
        List<TableRecord> rows = new ArrayList<>();
        for (JsonNode r : root.path("rows")) {
            if (r.path("part").asText().isEmpty()) {
                rows.add(decodeRow(r));
            }
        }
        return new TableUpdate(rows, root.path("ver").asLong(), whole);
    }

    /**
     * Tells whether rows follow those of an answer.
     *
     * @param data body
     * @return true if the answer says so
     * @throws IOException if the body is not an answer
     */
    public static boolean hasMore(byte[] data) throws IOException {
        return JsonTree.parseObject(data).path("hasMore").asBoolean();
    }

    /**
     * Tells whether a row of the operator's table names a version of weights.
     *
     * @param key key of the row
     * @return true if it does
     */
    public static boolean isVersionKey(String key) {
        return key.startsWith(VERSION_KEY_PREFIX);
    }

    /**
     * Decodes the model of a row that names a version of weights.
     *
     * @param key key of the row
     * @return model
     */
    public static String modelOfVersionKey(String key) {
        return key.substring(VERSION_KEY_PREFIX.length());
    }

    /**
     * Decodes the number of a row that names a version of weights.
     *
     * @param data bytes of the row
     * @return number of the version, at least 1
     * @throws IOException if the row holds none
     */
    public static int decodeVersionNumber(byte[] data) throws IOException {
        JsonNode version = JsonTree.parseObject(data).path("version");
        if (!version.isIntegralNumber() || version.asInt() < 1) {
            throw new IOException("version of weights is not a number above 0");
        }
        return version.asInt();
    }

    /**
     * Decodes a row.
     *
     * @param node row of an answer
     * @return row
     * @throws IOException if the value is not base64
     */
    private static TableRecord decodeRow(JsonNode node) throws IOException {
        boolean removed = node.path("tombstone").asBoolean();
        try {
            byte[] value =
                    removed ? new byte[0] : Base64.getDecoder().decode(node.path("value").asText());
            return new TableRecord(
                    node.path("key").asText(), value, node.path("ver").asLong(), removed);
        } catch (IllegalArgumentException e) {
            throw new IOException("row value is not base64", e);
        }
    }

    /**
     * Adds a row to a list.
     *
     * @param list list of a write
     * @param table name of the table
     * @param key key of the row
     * @return the row
     */
    private static ObjectNode addRow(ArrayNode list, String table, String key) {
        return list.addObject().put("table", table).put("part", "").put("key", key);
    }
}
