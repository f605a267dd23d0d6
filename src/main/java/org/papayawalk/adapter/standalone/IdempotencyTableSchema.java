package org.papayawalk.adapter.standalone;

/** Table name and row keys of the records of non-idempotent calls. Stateless; thread-safe. */
public final class IdempotencyTableSchema {
    /** Name of the table. */
    public static final String TABLE = "once";

    private IdempotencyTableSchema() {}

    /**
     * Returns the row key of a call.
     *
     * @param team team of the caller
     * @param idempotencyKey idempotency key sent by the caller
     * @return row key, unique for each team and idempotency key
     */
    public static String rowKey(String team, String idempotencyKey) {
        return team + "/" + idempotencyKey;
    }
}
