package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a fleet: hosts whose upstreams serve the same thing. Immutable; equal by text.
 *
 * @param value letters, digits, dots, dashes and underscores, 1 to 64 of them
 */
public record FleetId(@JsonValue String value) implements Comparable<FleetId> {

    /**
     * Checks the text.
     *
     * @param value text of the id
     * @throws IllegalArgumentException if the text is not a valid name
     */
    @JsonCreator
    public FleetId {
        Names.check("fleet", value);
    }

    @Override
    public int compareTo(FleetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
