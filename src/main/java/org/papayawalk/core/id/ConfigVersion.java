package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of the configuration; each accepted change adds one. Immutable.
 *
 * @param number 0 before the first accepted sheet
 */
public record ConfigVersion(@JsonValue long number) implements Comparable<ConfigVersion> {
    /** Version before any sheet was accepted. */
    public static final ConfigVersion ZERO = new ConfigVersion(0);

    /**
     * Checks the number.
     *
     * @param number number of the version
     * @throws IllegalArgumentException if the number is negative
     */
    @JsonCreator
    public ConfigVersion {
        if (number < 0) {
            throw new IllegalArgumentException("configuration version " + number + " is negative");
        }
    }

    /**
     * Returns the version after this one.
     *
     * @return this number plus one
     */
    public ConfigVersion next() {
        return new ConfigVersion(number + 1);
    }

    /**
     * Tells whether this version is later than another.
     *
     * @param other version to compare with
     * @return true if this number is higher
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
