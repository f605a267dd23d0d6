package org.papayawalk.lab;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.papayawalk.adapter.standalone.Json;

/** Joins the tokens of a streamed answer. Holds no state; safe from any thread. */
public final class SseText {
    /** Start of a data line. */
    private static final String DATA = "data: ";

    /** Data of the last event. */
    private static final String DONE = "[DONE]";

    /** Prevents instances. */
    private SseText() {}

    /**
     * Joins the tokens.
     *
     * @param body whole body of the answer
     * @return text, marked as broken off if the last event is missing
     * @throws IOException if an event is malformed
     */
    public static String of(String body) throws IOException {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : body.split("\n")) {
            if (line.equals(DATA + DONE)) {
                done = true;
            } else if (line.startsWith(DATA)) {
                text.append(token(line.substring(DATA.length())));
            }
        }
        return done ? text.toString() : text + "(broken off)";
    }

    /**
     * Reads the token of an event.
     *
     * @param data data of the event
     * @return token, empty if the event has none
     * @throws IOException if the event is malformed
     */
    private static String token(String data) throws IOException {
        byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
        Map<String, Object> event = Json.read(bytes, new TypeReference<>() {});
        if (!(event.get("choices") instanceof List<?> choices) || choices.isEmpty()) {
            return "";
        }
        Object delta = ((Map<?, ?>) choices.get(0)).get("delta");
        return String.valueOf(((Map<?, ?>) delta).get("content"));
    }
}
