package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a failure domain. Immutable.
 *
 * @param value 1 to 64 ASCII letters, digits, dots, dashes and underscores
 */
public record DomainId(@JsonValue String value) implements Comparable<DomainId> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is null, too long or has other characters
     */
    @JsonCreator
    public DomainId {
        Names.check("failure domain", value);
    }

    @Override
    public int compareTo(DomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
