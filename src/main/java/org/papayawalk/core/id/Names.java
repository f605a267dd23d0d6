package org.papayawalk.core.id;

import java.util.regex.Pattern;

/** Checks the text of ids. Holds no state; safe from any thread. */
final class Names {
    /** Shape of every id. */
    private static final Pattern SHAPE = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    /** Prevents instances. */
    private Names() {}

    /**
     * Checks that a text can be an id.
     *
     * @param kind kind of id, for the message
     * @param value text to check
     * @throws IllegalArgumentException if the text is null or has another shape
     */
    static void check(String kind, String value) {
        if (value == null || !SHAPE.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "%s name \"%s\" is not 1 to 64 letters, digits, dots, dashes or underscores"
                            .formatted(kind, value));
        }
    }
}
