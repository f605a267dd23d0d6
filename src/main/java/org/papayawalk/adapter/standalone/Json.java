package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;

/** Reads and writes JSON. Holds no changeable state; safe from any thread. */
public final class Json {
    /** Mapper with this project's settings. */
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new JavaTimeModule())
                    .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    /** Prevents instances. */
    private Json() {}

    /**
     * Writes a value.
     *
     * @param value value to write
     * @return UTF-8 text
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write " + value.getClass() + " as JSON", e);
        }
    }

    /**
     * Writes a value with line breaks, for people to read.
     *
     * @param value value to write
     * @return text
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
     * Reads a value of a generic type.
     *
     * @param data UTF-8 text
     * @param type type of the value
     * @param <T> type of the value
     * @return the value
     * @throws IOException if the text is not JSON of that type
     */
    public static <T> T read(byte[] data, TypeReference<T> type) throws IOException {
        return MAPPER.readValue(data, type);
    }
}
