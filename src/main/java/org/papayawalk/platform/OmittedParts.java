package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Parts of one document that cannot be used and are left out. Bounded. Not thread-safe. */
final class OmittedParts {
    /** Parts that are described; further ones are counted only. */
    private static final int MAX_DESCRIPTIONS = 5;

    private static final int MAX_NAME_CHARACTERS = 60;

    private final List<String> descriptions = new ArrayList<>();

    private int count;

    /**
     * Decodes the elements of an array, and leaves out those that cannot be used.
     *
     * @param <T> type of a decoded element
     * @param kind kind of the elements, for the description
     * @param array elements, none if the node is missing
     * @param decoder throws an IllegalArgumentException for an element that cannot be used
     * @return decoded elements in order
     */
    <T> List<T> decodeEach(String kind, JsonNode array, Function<JsonNode, T> decoder) {
        List<T> decoded = new ArrayList<>();
        int index = 0;
        for (JsonNode element : array) {
            try {
                decoded.add(decoder.apply(element));
            } catch (IllegalArgumentException e) {
                record(kind, index, element);
            }
            index++;
        }
        return decoded;
    }

    /**
     * Returns the number of parts that were left out.
     *
     * @return 0 or more
     */
    int count() {
        return count;
    }

    /**
     * Returns descriptions of the first parts that were left out.
     *
     * @return kind, index and beginning of the name of each
     */
    List<String> descriptions() {
        return descriptions;
    }

    private void record(String kind, int index, JsonNode element) {
        count++;
        if (descriptions.size() < MAX_DESCRIPTIONS) {
            String name = element.path("name").asText();
            String shown = name.substring(0, Math.min(name.length(), MAX_NAME_CHARACTERS));
            descriptions.add(kind + " " + index + " \"" + shown + "\"");
        }
    }
}
