package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a fleet, a set of hosts whose upstreams serve the same model or service. Immutable.
 *
 * @param value 1 to 64 ASCII letters, digits, dots, dashes and underscores
 */
public record FleetId(@JsonValue String value) implements Comparable<FleetId> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is null, too long or has other characters
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
