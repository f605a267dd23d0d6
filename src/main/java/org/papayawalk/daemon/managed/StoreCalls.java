package org.papayawalk.daemon.managed;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.log.Event;

/**
 * Counts the calls of this daemon to the store, by purpose and by what they brought. Thread-safe.
 */
public final class StoreCalls {
    /** Purpose of a call. */
    public enum Kind {
        /** Waits for changes of a table. */
        FOLLOW,
        /** Checks whether another daemon delivered all changes of a table. */
        CHECK,
        /** Reads a page of a whole table. */
        READ,
        /** Writes the row of this daemon. */
        PUT
    }

    /** What a call brought. */
    public enum Outcome {
        /** Rows, or a write that was done. */
        DONE,
        /** No rows. */
        NOTHING,
        /** Rows that were not read, as another daemon delivers them. */
        DELEGATED,
        /** Another status than success. */
        REFUSED,
        /** No whole answer in time. */
        UNANSWERED;

        /**
         * Returns the outcome of a call, without regard to rows.
         *
         * @param result result of the call
         * @return {@link #DONE}, {@link #REFUSED} or {@link #UNANSWERED}
         */
        static Outcome of(Either<Fault, AsyncHttpResponse> result) {
            if (result.isLeft()) {
                boolean unread = result.getLeft().kind() == FaultKind.TOO_LONG;
                return unread ? DELEGATED : UNANSWERED;
            }
            return result.get().isSuccess() ? DONE : REFUSED;
        }
    }

    /**
     * What calls are counted by. Immutable.
     *
     * @param kind purpose in lower case
     * @param table name of the table
     * @param outcome outcome in lower case
     */
    private record Key(String kind, String table, String outcome) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            return toString().compareTo(other.toString());
        }

        @Override
        public String toString() {
            return kind + "-" + table + "-" + outcome;
        }
    }

    private final Map<Key, LongAdder> counts = new ConcurrentSkipListMap<>();

    /**
     * Counts a call that has ended.
     *
     * @param kind purpose
     * @param table name of the table
     * @param outcome what it brought
     */
    public void ended(Kind kind, String table, Outcome outcome) {
        Key key = new Key(lower(kind), table, lower(outcome));
        counts.computeIfAbsent(key, k -> new LongAdder()).increment();
    }

    /**
     * Registers the counts as a metric.
     *
     * @param registry registry
     */
    public void register(PrometheusRegistry registry) {
        CounterWithCallback.builder()
                .name("papayawalk_store_calls_total")
                .help("Calls to the platform's store, by purpose, table and outcome")
                .labelNames("kind", "table", "outcome")
                .callback(
                        c -> counts.forEach((k, n) -> c.call(n.sum(), k.kind, k.table, k.outcome)))
                .register(registry);
    }

    /** Logs the counts since the start of the process. */
    void log() {
        if (counts.isEmpty()) {
            return;
        }
        Event event = Event.named("store-calls");
        counts.forEach((k, n) -> event.with(k.toString(), n.sum()));
        event.info();
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
