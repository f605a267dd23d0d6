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
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;

/**
 * Requests and responses of the platform's table store. On the wire, {@code part} is the partition
 * of a row and {@code ver} a table version. Stateless; thread-safe.
 */
public final class StoreCodec {
    /** Name of the table that the operator writes. */
    public static final String OPERATOR_TABLE = "op";

    /** Name of the table in which servers register. */
    public static final String SERVER_TABLE = "servers";

    /** Key of the desired state in the operator's table. */
    public static final String DESIRED_STATE_KEY = "config";

    /** Header of every answer with the era of the store; it rises with each restore. */
    public static final String ERA_HEADER = "Store-Era";

    /** Prefix of the keys that set the version of a model's weights; the model follows. */
    private static final String VERSION_KEY_PREFIX = "version/";

    /** Prefix of the keys that evacuate a failure domain; its name follows. */
    private static final String EVACUATION_KEY_PREFIX = "evacuate/";

    /** Digits that fit a long. */
    private static final Pattern ERA_FORMAT = Pattern.compile("[0-9]{1,18}");

    /** Maximum number of rows in one response. */
    private static final int PAGE_ROWS = 500;

    private static final byte[] NO_VALUE = {};

    private StoreCodec() {}

    /**
     * Returns the target of a long poll for changes of a table.
     *
     * @param table name of the table
     * @param after table version that the client has; only later changes are returned
     * @param wait time after which the store responds although nothing changed
     * @return path and query
     */
    public static String changesTarget(String table, long after, Duration wait) {
        return "/rows-feed?table=" + table + "&after=" + after + "&waitMs=" + wait.toMillis();
    }

    /**
     * Returns the target of a request that reads one page of a table.
     *
     * @param table name of the table
     * @param from first key to read, empty to start at the first row
     * @return path and query
     */
    public static String readTarget(String table, String from) {
        String start =
                from.isEmpty() ? "" : "&from=" + URLEncoder.encode(from, StandardCharsets.UTF_8);
        return "/rows-get?table=" + table + "&part=" + start + "&limit=" + PAGE_ROWS;
    }

    /**
     * Returns the target of a write.
     *
     * @return path
     */
    public static String writeTarget() {
        return "/rows-tx";
    }

    /**
     * Encodes an unconditional write of one row.
     *
     * @param table name of the table
     * @param key key of the row
     * @param value content of the row
     * @return request body, JSON text
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
     * Encodes an unconditional removal of one row.
     *
     * @param table name of the table
     * @param key key of the row
     * @return request body, JSON text
     */
    public static byte[] removeBody(String table, String key) {
        ObjectNode root = JsonTree.MAPPER.createObjectNode();
        root.putArray("expectedRev");
        root.putArray("upserts");
        addRow(root.putArray("remove"), table, key);
        return JsonTree.write(root);
    }

    /**
     * Decodes a response with rows. Only rows of the partition with the empty name are used.
     *
     * @param data response body
     * @param era era that the response states
     * @param snapshot whether the response holds all rows of the table
     * @return rows with the table version that they reach
     * @throws IOException if the body is not a valid response
     */
    public static TableUpdate decode(byte[] data, StoreEra era, boolean snapshot)
            throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        OptionalLong number = JsonTree.wholeNumber(root.path("ver"), 0, Long.MAX_VALUE);
        if (number.isEmpty()) {
            throw new IOException("store response has no integer field \"ver\" (table version)");
        }
        List<TableRecord> rows = new ArrayList<>();
        for (JsonNode r : root.path("rows")) {
            if (r.path("part").asText().isEmpty()) {
                rows.add(decodeRow(r, number.getAsLong()));
            }
        }
        TableVersion version = new TableVersion(era, number.getAsLong());
        OptionalLong storeMillis =
                JsonTree.wholeNumber(root.path("nowMs"), Long.MIN_VALUE, Long.MAX_VALUE);
        return new TableUpdate(rows, version, snapshot, storeMillis);
    }

    /**
     * Decodes the era of the store from the header of an answer.
     *
     * @param header value of {@link #ERA_HEADER}, empty if the answer has none
     * @return era, {@link StoreEra#INITIAL} if the header is absent or not a number
     */
    public static StoreEra decodeEra(Optional<String> header) {
        return header.map(String::trim)
                .filter(h -> ERA_FORMAT.matcher(h).matches())
                .map(h -> new StoreEra(Long.parseLong(h)))
                .orElse(StoreEra.INITIAL);
    }

    /**
     * Tells whether further rows follow those of a response.
     *
     * @param data response body
     * @return true if another page has to be read
     * @throws IOException if the body is not a JSON object
     */
    public static boolean hasMore(byte[] data) throws IOException {
        return JsonTree.parseObject(data).path("hasMore").asBoolean();
    }

    /**
     * Tells whether a row of the operator's table sets the version of a model's weights.
     *
     * @param key key of the row
     * @return true if the key has the prefix of such rows
     */
    public static boolean isVersionKey(String key) {
        return key.startsWith(VERSION_KEY_PREFIX);
    }

    /**
     * Extracts the model from the key of a row that sets its version.
     *
     * @param key key for which {@link #isVersionKey} returns true
     * @return name of the model
     */
    public static String modelOfVersionKey(String key) {
        return key.substring(VERSION_KEY_PREFIX.length());
    }

    /**
     * Returns whether the row of a key asks that a failure domain gets no requests.
     *
     * @param key key of a row in the operator's table
     * @return true if {@link #domainOfEvacuationKey} applies
     */
    public static boolean isEvacuationKey(String key) {
        return key.startsWith(EVACUATION_KEY_PREFIX);
    }

    /**
     * Extracts the failure domain from the key of a row that evacuates it.
     *
     * @param key key for which {@link #isEvacuationKey} returns true
     * @return failure domain, empty if the key holds no valid name
     */
    public static Optional<DomainId> domainOfEvacuationKey(String key) {
        try {
            return Optional.of(new DomainId(key.substring(EVACUATION_KEY_PREFIX.length())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Decodes the version from a row that sets the version of a model's weights.
     *
     * @param data content of the row, JSON text
     * @return version, at least 1
     * @throws IOException if the row has no version or the version is out of range
     */
    public static int decodeVersionNumber(byte[] data) throws IOException {
        JsonNode version = JsonTree.parseObject(data).path("version");
        return (int)
                JsonTree.wholeNumber(version, 1, Integer.MAX_VALUE)
                        .orElseThrow(
                                () ->
                                        new IOException(
                                                "weight version must be an integer from 1 to "
                                                        + Integer.MAX_VALUE));
    }

    // A row whose value can't be decoded has an empty value, which no reader of rows accepts: it
    // hides neither the rows beside it nor its own later versions. newest: table version of the
    // response, which no row of it can be newer than.
    private static TableRecord decodeRow(JsonNode node, long newest) {
        boolean removed = node.path("tombstone").asBoolean();
        byte[] value = removed ? NO_VALUE : decodeValue(node.path("value").asText());
        long version = JsonTree.wholeNumber(node.path("ver"), 1, newest).orElse(newest);
        return new TableRecord(node.path("key").asText(), value, version, removed);
    }

    private static byte[] decodeValue(String text) {
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return NO_VALUE;
        }
    }

    private static ObjectNode addRow(ArrayNode list, String table, String key) {
        return list.addObject().put("table", table).put("part", "").put("key", key);
    }
}
