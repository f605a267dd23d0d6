package org.papayawalk.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.OptionalLong;

/** Parses and writes JSON trees. Thread-safe. */
final class JsonTree {
    /** Depth of objects and arrays above which a text is malformed. */
    private static final int MAX_DEPTH = 64;

    /** Characters of one number above which a text is malformed. */
    private static final int MAX_NUMBER_CHARACTERS = 64;

    /** Shared mapper that reads whole texts with bounded depth and numbers; thread-safe. */
    static final ObjectMapper MAPPER =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_DEPTH)
                                                    .maxNumberLength(MAX_NUMBER_CHARACTERS)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private JsonTree() {}

    /**
     * Parses JSON text whose root is an object. Text of any length costs little stack, as its depth
     * is bounded.
     *
     * @param data JSON text
     * @return root object
     * @throws IOException if the bytes are not one JSON text, exceed the bounds of depth or number
     *     length, or the root is not an object
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
     * Reads a limit. A number beyond the range is the nearest one in the range, so that a very high
     * limit does not become a low one.
     *
     * @param node value, may be missing
     * @param otherwise limit if the value is not a number
     * @return limit
     */
    static int limit(JsonNode node, int otherwise) {
        return node.isNumber() ? (int) node.doubleValue() : node.asInt(otherwise);
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
