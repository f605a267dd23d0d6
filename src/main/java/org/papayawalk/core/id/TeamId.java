package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Name of a team that sends requests. Immutable.
 *
 * @param value 1 to 1,024 characters, at least one of them visible and none a control character
 *     other than a tab, so that a header can carry it
 */
public record TeamId(@JsonValue String value) implements Comparable<TeamId> {
    private static final Pattern FORMAT = Pattern.compile("[^\\x00-\\x08\\x0A-\\x1F\\x7F]{1,1024}");

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is null, blank, too long or has control
     *     characters
     */
    public TeamId {
        if (value == null || value.isBlank() || !FORMAT.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "team name is blank, longer than 1,024 characters or has control characters");
        }
    }

    /**
     * Creates a team whose name a caller or a sheet states.
     *
     * @param value 1 to 64 ASCII letters, digits, dots, dashes and underscores
     * @return team
     * @throws IllegalArgumentException if the value is null, too long or has other characters
     */
    @JsonCreator
    public static TeamId ofPlainName(String value) {
        Names.check("team", value);
        return new TeamId(value);
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
