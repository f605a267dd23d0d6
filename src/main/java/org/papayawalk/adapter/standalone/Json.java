package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;

/** Reads and writes JSON. Thread-safe. */
public final class Json {
    /** Writes times as ISO 8601 text and ignores unknown fields when reading; thread-safe. */
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new JavaTimeModule())
                    .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /**
     * Writes a value as JSON.
     *
     * @param value value to write
     * @return UTF-8 text without line breaks
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write " + value.getClass() + " as JSON", e);
        }
    }

    /**
     * Writes a value as indented JSON.
     *
     * @param value value to write
     * @return text with line breaks
     */
    public static String writePretty(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write " + value.getClass() + " as JSON", e);
        }
    }

    /**
     * Reads a value.
     *
     * @param data UTF-8 text
     * @param type type of the value
     * @param <T> type of the value
     * @return the value
     * @throws IOException if the text is not JSON of that type
     */
    public static <T> T read(byte[] data, Class<T> type) throws IOException {
        T value = MAPPER.readValue(data, type);
        if (value == null) {
            throw new IOException("expected " + type.getSimpleName() + ", found null");
        }
        return value;
    }

    /**
     * Reads a value from a part of a text.
     *
     * @param node part of a text
     * @param type type of the value
     * @param <T> type of the value
     * @return the value, null if the part is the literal null
     * @throws IOException if the part is not of that type
     */
    static <T> T convert(JsonNode node, Class<T> type) throws IOException {
        return MAPPER.treeToValue(node, type);
    }

    /**
     * Reads a value of a generic type.
     *
     * @param data UTF-8 text
     * @param type type of the value
     * @param <T> type of the value
     * @return the value
     * @throws IOException if the text is not JSON of that type
     */
    public static <T> T read(byte[] data, TypeReference<T> type) throws IOException {
        T value = MAPPER.readValue(data, type);
        if (value == null) {
            throw new IOException("expected " + type.getType().getTypeName() + ", found null");
        }
        return value;
    }
}
