package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads and writes JSON trees. Holds no state of its own; safe from any thread. */
final class JsonTree {
    /** Parser; thread-safe. */
    static final ObjectMapper MAPPER = new ObjectMapper();

    /** Prevents instances. */
    private JsonTree() {}

    /**
     * Reads a tree.
     *
     * @param data JSON text
     * @return root
     * @throws IOException if the bytes are not JSON or hold no object
     */
    static JsonNode parseObject(byte[] data) throws IOException {
        JsonNode root = MAPPER.readTree(data);
        if (root == null || !root.isObject()) {
            throw new IOException("JSON text holds no object");
        }
        return root;
    }

    /**
     * Writes a tree.
     *
     * @param root root
     * @return JSON text
     */
    static byte[] write(JsonNode root) {
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (IOException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }
}
