package org.papayawalk.adapter.standalone;

/** Names of the rows of non-idempotent calls. Holds no state; safe from any thread. */
public final class IdempotencyTableSchema {
    /** Name of the table. */
    public static final String TABLE = "once";

    /** Prevents instances. */
    private IdempotencyTableSchema() {}

    /**
     * Returns the key of a call's row.
     *
     * @param team team of the caller
     * @param idempotencyKey key that the caller gave
     * @return key, unique to team and key
     */
    public static String rowKey(String team, String idempotencyKey) {
        return team + "/" + idempotencyKey;
    }
}
