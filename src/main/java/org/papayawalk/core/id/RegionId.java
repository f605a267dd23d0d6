package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a region, which holds one or more failure domains. Immutable.
 *
 * @param value 1 to 64 ASCII letters, digits, dots, dashes and underscores
 */
public record RegionId(@JsonValue String value) implements Comparable<RegionId> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is null, too long or has other characters
     */
    @JsonCreator
    public RegionId {
        Names.check("region", value);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
