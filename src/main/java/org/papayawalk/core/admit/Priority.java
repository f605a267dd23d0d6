package org.papayawalk.core.admit;

/** Priorities of requests, most urgent first. Daemons exchange them by ordinal. */
public enum Priority {
    /** Interactive requests, whose user waits for the answer. */
    HIGH,
    /** Default. */
    NORMAL,
    /** Background work that tolerates delay. */
    LOW;

    /**
     * Returns the priority with an ordinal.
     *
     * @param number ordinal, as sent between daemons
     * @return the priority, {@link #NORMAL} if no priority has this ordinal
     */
    public static Priority ofNumber(int number) {
        return number >= 0 && number < values().length ? values()[number] : NORMAL;
    }
}
