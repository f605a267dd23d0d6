package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a host, unique in a deployment. Immutable.
 *
 * @param value 1 to 64 ASCII letters, digits, dots, dashes and underscores
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is null, too long or has other characters
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
