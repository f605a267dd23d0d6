package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a team that sends requests. Immutable.
 *
 * @param value 1 to 64 ASCII letters, digits, dots, dashes and underscores
 */
public record TeamId(@JsonValue String value) implements Comparable<TeamId> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is null, too long or has other characters
     */
    @JsonCreator
    public TeamId {
        Names.check("team", value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
