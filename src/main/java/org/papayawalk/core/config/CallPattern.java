package org.papayawalk.core.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Pattern for HTTP calls: method and path prefix. Immutable.
 *
 * @param method HTTP method in upper case
 * @param pathPrefix prefix of the path below the service, starts with a slash
 */
public record CallPattern(String method, String pathPrefix) {

    /**
     * Parses a pattern such as {@code POST /orders}.
     *
     * @param text method in upper case, one space and a path prefix
     * @return the pattern
     * @throws IllegalArgumentException if the text has another format
     */
    @JsonCreator
    public static CallPattern parse(String text) {
        String[] parts = text.trim().split(" ");
        if (parts.length != 2 || !parts[1].startsWith("/") || !parts[0].matches("[A-Z]+")) {
            throw new IllegalArgumentException(
                    "call \"%s\" is not a method and a path; expected for example \"POST /orders\""
                            .formatted(text));
        }
        return new CallPattern(parts[0], parts[1]);
    }

    /**
     * Returns whether a call matches this pattern.
     *
     * @param callMethod method of the call, compared without case
     * @param path path of the call, may include a query
     * @return true if the methods are equal and the path equals the prefix or lies below it
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
