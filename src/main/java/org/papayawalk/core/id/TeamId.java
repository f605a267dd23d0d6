package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a team that sends requests. Immutable; equal by text.
 *
 * @param value letters, digits, dots, dashes and underscores, 1 to 64 of them
 */
public record TeamId(@JsonValue String value) implements Comparable<TeamId> {

    /**
     * Checks the text.
     *
     * @param value text of the id
     * @throws IllegalArgumentException if the text is not a valid name
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
