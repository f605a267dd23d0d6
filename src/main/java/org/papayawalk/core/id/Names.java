package org.papayawalk.core.id;

import java.util.regex.Pattern;

/** Validates names that are used as ids. Stateless; thread-safe. */
final class Names {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private Names() {}

    /**
     * Validates a name.
     *
     * @param kind kind of thing that is named, for the message
     * @param value name to validate, may be null
     * @throws IllegalArgumentException if the name is null or not 1 to 64 ASCII letters, digits,
     *     dots, dashes and underscores
     */
    static void check(String kind, String value) {
        if (value == null || !NAME.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "%s name \"%s\" is not 1 to 64 letters, digits, dots, dashes or underscores"
                            .formatted(kind, value));
        }
    }
}
