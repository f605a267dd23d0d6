package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a failure domain. Immutable; equal by text.
 *
 * @param value letters, digits, dots, dashes and underscores, 1 to 64 of them
 */
public record DomainId(@JsonValue String value) implements Comparable<DomainId> {

    /**
     * Checks the text.
     *
     * @param value text of the id
     * @throws IllegalArgumentException if the text is not a valid name
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
