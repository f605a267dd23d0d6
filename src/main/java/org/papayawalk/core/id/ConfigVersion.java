package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version number of the configuration, incremented by each accepted change. Immutable.
 *
 * @param number 0 until the first sheet is accepted, else at least 1
 */
public record ConfigVersion(@JsonValue long number) implements Comparable<ConfigVersion> {
    /** Version until the first sheet is accepted. */
    public static final ConfigVersion ZERO = new ConfigVersion(0);

    /**
     * Validates the number.
     *
     * @throws IllegalArgumentException if the number is negative
     */
    @JsonCreator
    public ConfigVersion {
        if (number < 0) {
            throw new IllegalArgumentException(
                    "configuration version " + number + " is negative; expected 0 or more");
        }
    }

    /**
     * Returns the version that succeeds this one.
     *
     * @return version with this number plus 1
     */
    public ConfigVersion next() {
        return new ConfigVersion(number + 1);
    }

    /**
     * Returns whether this version is later than another.
     *
     * @param other version to compare with
     * @return true if this number is higher, false if it is equal or lower
     */
    public boolean isAfter(ConfigVersion other) {
        return number > other.number;
    }

    @Override
    public int compareTo(ConfigVersion other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
