package org.papayawalk.lab;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.papayawalk.adapter.standalone.Json;

/** Extracts the text of a response streamed as server-sent events. Stateless; thread-safe. */
public final class SseText {
    private static final String DATA_PREFIX = "data: ";

    private static final String DONE_MARKER = "[DONE]";

    private SseText() {}

    /**
     * Concatenates the tokens of all events.
     *
     * @param body complete body of the response
     * @return text of the response, with a mark at its end if the event {@code [DONE]} is missing
     * @throws IOException if the data of an event is not a JSON object
     */
    public static String joinTokens(String body) throws IOException {
        StringBuilder text = new StringBuilder();
        boolean done = false;
        for (String line : body.split("\n")) {
            if (line.equals(DATA_PREFIX + DONE_MARKER)) {
                done = true;
            } else if (line.startsWith(DATA_PREFIX)) {
                text.append(contentOf(line.substring(DATA_PREFIX.length())));
            }
        }
        return done ? text.toString() : text + "(truncated)";
    }

    // Returns an empty text for an event without choices.
    private static String contentOf(String data) throws IOException {
        byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
        Map<String, Object> event = Json.read(bytes, new TypeReference<>() {});
        if (!(event.get("choices") instanceof List<?> choices) || choices.isEmpty()) {
            return "";
        }
        Object delta = ((Map<?, ?>) choices.get(0)).get("delta");
        return String.valueOf(((Map<?, ?>) delta).get("content"));
    }
}
