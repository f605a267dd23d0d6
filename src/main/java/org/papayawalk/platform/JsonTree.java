package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.OptionalLong;

/** Parses and writes JSON trees. Thread-safe. */
final class JsonTree {
    /** Shared mapper with default settings; thread-safe. */
    static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonTree() {}

    /**
     * Parses JSON text whose root is an object.
     *
     * @param data JSON text
     * @return root object
     * @throws IOException if the bytes are not JSON or the root is not an object
     */
    static JsonNode parseObject(byte[] data) throws IOException {
        JsonNode root = MAPPER.readTree(data);
        if (root == null || !root.isObject()) {
            throw new IOException("the root of the JSON text is not an object");
        }
        return root;
    }

    /**
     * Reads a whole number that somebody else wrote.
     *
     * @param node value, may be missing
     * @param min smallest valid number
     * @param max largest valid number
     * @return number, empty if the value is not a JSON integer or out of range
     */
    static OptionalLong wholeNumber(JsonNode node, long min, long max) {
        boolean fits = node.isIntegralNumber() && node.canConvertToLong();
        if (!fits || node.longValue() < min || node.longValue() > max) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(node.longValue());
    }

    /**
     * Writes a tree.
     *
     * @param root root of the tree
     * @return JSON text, UTF-8
     */
    static byte[] write(JsonNode root) {
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (IOException e) {
            throw new IllegalStateException("cannot write a JSON tree", e);
        }
    }
}
