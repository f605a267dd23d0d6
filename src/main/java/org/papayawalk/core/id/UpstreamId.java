package org.papayawalk.core.id;

/**
 * Name under which an upstream registered itself. Immutable; equal by text.
 *
 * @param value text as registered, not empty
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

    /**
     * Checks the text.
     *
     * @param value text of the id
     * @throws IllegalArgumentException if the text is empty
     */
    public UpstreamId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("upstream id is empty");
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
