package org.papayawalk.core.upstream;

import java.util.function.Consumer;

/**
 * Query of an emulated entry. Times are in milliseconds.
 *
 * @param from entry that asks
 * @param life process of that entry
 * @param after version that it has
 * @param sentAt time of the query
 * @param over whether it was answered or given up, in a single element
 * @param done receives whether it was answered
 */
record EmulatedQuery(
        EmulatedEntry from,
        int life,
        long after,
        long sentAt,
        boolean[] over,
        Consumer<Boolean> done) {

    /**
     * Answer to a query.
     *
     * @param sent version that it carries, 0 for none
     * @param proven version of the last proof
     * @param age age of the last proof
     * @param held time for which the query was held
     */
    record Reply(long sent, long proven, long age, long held) {}

    /**
     * Query that an entry holds.
     *
     * @param query query
     * @param since time of its receipt
     */
    record Held(EmulatedQuery query, long since) {}
}
