package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a region, which holds one or more failure domains. Immutable; equal by text.
 *
 * @param value letters, digits, dots, dashes and underscores, 1 to 64 of them
 */
public record RegionId(@JsonValue String value) implements Comparable<RegionId> {

    /**
     * Checks the text.
     *
     * @param value text of the id
     * @throws IllegalArgumentException if the text is not a valid name
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
