package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.log.Event;

/**
 * Calls of one table that the store did not answer, in a row. Logs the first of them, few of the
 * later ones and the next answer, so that a long outage does not fill the log. Confined to the
 * control thread.
 */
final class StoreContact {
    private final String table;

    private int failures;

    // Last call that succeeded, initially the creation.
    private Instant lastSuccessAt;

    /**
     * Creates a contact without failures.
     *
     * @param table name of the table
     * @param now present time
     */
    StoreContact(String table, Instant now) {
        this.table = table;
        this.lastSuccessAt = now;
    }

    /**
     * Returns the failed calls since the last one that succeeded.
     *
     * @return 0 or more
     */
    int failures() {
        return failures;
    }

    /**
     * Records a call that succeeded.
     *
     * @param now present time
     */
    void succeeded(Instant now) {
        if (failures > 0) {
            Event.named("store-regained")
                    .with("table", table)
                    .with("failures", failures)
                    .with("unanswered_ms", Duration.between(lastSuccessAt, now).toMillis())
                    .info();
        }
        failures = 0;
        lastSuccessAt = now;
    }

    /**
     * Records a call that failed.
     *
     * @param reason reason for the log
     */
    void failed(String reason) {
        failures++;
        if (failures == 1) {
            Event.named("store-lost").with("table", table).with("reason", reason).warn();
        } else if (Integer.bitCount(failures) == 1) {
            Event.named("store-call-failed")
                    .with("table", table)
                    .with("failures", failures)
                    .with("reason", reason)
                    .info();
        }
    }
}
