package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a host, unique in a deployment. Immutable; equal by text.
 *
 * @param value letters, digits, dots, dashes and underscores, 1 to 64 of them
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {

    /**
     * Checks the text.
     *
     * @param value text of the id
     * @throws IllegalArgumentException if the text is not a valid name
     */
    @JsonCreator
    public HostId {
        Names.check("host", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
