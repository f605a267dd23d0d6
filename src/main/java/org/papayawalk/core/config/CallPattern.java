package org.papayawalk.core.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Method and path prefix of calls. Immutable.
 *
 * @param method HTTP method in upper case
 * @param pathPrefix start of the path below the service
 */
public record CallPattern(String method, String pathPrefix) {

    /**
     * Reads a pattern such as {@code POST /orders}.
     *
     * @param text method, one space and a path prefix
     * @return the pattern
     * @throws IllegalArgumentException if the text has another form
     */
    @JsonCreator
    public static CallPattern parse(String text) {
        String[] parts = text.trim().split(" ");
        if (parts.length != 2 || !parts[1].startsWith("/") || !parts[0].matches("[A-Z]+")) {
            throw new IllegalArgumentException(
                    "call \"%s\" is not a method and a path, such as \"POST /orders\""
                            .formatted(text));
        }
        return new CallPattern(parts[0], parts[1]);
    }

    /**
     * Tells whether a call falls under this pattern.
     *
     * @param callMethod method of the call
     * @param path path of the call
     * @return true if the method is equal and the path is the prefix or lies below it
     */
    public boolean matches(String callMethod, String path) {
        if (!method.equalsIgnoreCase(callMethod) || !path.startsWith(pathPrefix)) {
            return false;
        }
        int n = pathPrefix.length();
        return path.length() == n
                || pathPrefix.endsWith("/")
                || path.charAt(n) == '/'
                || path.charAt(n) == '?';
    }

    @JsonValue
    @Override
    public String toString() {
        return method + " " + pathPrefix;
    }
}
