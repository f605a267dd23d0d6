package org.papayawalk.core.id;

/**
 * Name under which an upstream is registered. Immutable.
 *
 * @param value name as registered, not empty; any characters
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is null or empty
     */
    public UpstreamId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("upstream id is missing or empty");
        }
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
