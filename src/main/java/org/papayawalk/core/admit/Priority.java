package org.papayawalk.core.admit;

/** Priorities of requests, most urgent first. Immutable. */
public enum Priority {
    /** A person waits for the answer. */
    HIGH,
    /** Usual requests. */
    NORMAL,
    /** Work that can wait. */
    LOW;

    /**
     * Returns the priority with a number.
     *
     * @param number ordinal, as sent between daemons
     * @return the priority, normal if the number is unknown
     */
    public static Priority ofNumber(int number) {
        return number >= 0 && number < values().length ? values()[number] : NORMAL;
    }
}
