package org.papayawalk.core.id;

/**
 * Number of times that the platform's store was restored from an older copy of itself. Table
 * versions are comparable within one era only, because a restored store reuses version numbers.
 * Immutable.
 *
 * @param number 0 until the store states an era
 */
public record StoreEra(long number) implements Comparable<StoreEra> {
    /** Era of a store that states none. */
    public static final StoreEra INITIAL = new StoreEra(0);

    /**
     * Returns whether this era is later than another.
     *
     * @param other era to compare with
     * @return true if this number is higher, false if it is equal or lower
     */
    public boolean isAfter(StoreEra other) {
        return number > other.number;
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
