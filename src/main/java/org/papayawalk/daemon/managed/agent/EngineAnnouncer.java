package org.papayawalk.daemon.managed.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.papayawalk.core.upstream.EngineNotice;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.daemon.managed.weight.WeightVersion;

/**
 * Tells entries when the engine beside this agent is about to load a version, and what it serves
 * afterwards. Repeats an unchanged notice now and then, for entries that were restarted or cut off.
 * Thread-safe.
 */
final class EngineAnnouncer {
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(3);

    /** Time after an order in which a report may still be older than the order. */
    private static final Duration ORDER_VISIBLE_AFTER = Duration.ofMillis(300);

    private final String engineAddress;

    private final Consumer<EngineNotice> recipients;

    private EngineNotice last;

    private Instant lastAt = Instant.MIN;

    private Instant ordersVisibleAt = Instant.MIN;

    private int ordered;

    /**
     * Creates an announcer that has told nothing yet.
     *
     * @param engineAddress IP address and port of the engine
     * @param recipients sends a notice to entries
     */
    EngineAnnouncer(String engineAddress, Consumer<EngineNotice> recipients) {
        this.engineAddress = engineAddress;
        this.recipients = recipients;
    }

    /**
     * Announces that the engine is about to be ordered to load a version.
     *
     * @param version version to load
     * @param report report that the order is based on
     * @param now present time
     */
    synchronized void loadOrdered(WeightVersion version, EngineReport report, Instant now) {
        ordered = version.number();
        ordersVisibleAt = now.plus(ORDER_VISIBLE_AFTER);
        send(notice(version.model(), report, ordered), now);
    }

    /** Withdraws the announcement of a load; the next report tells the engine's state. */
    synchronized void loadNotAccepted() {
        ordersVisibleAt = Instant.MIN;
    }

    /**
     * Announces the state of the engine if it has changed.
     *
     * @param model model that the engine serves
     * @param report report of the engine
     * @param now present time
     */
    synchronized void reported(String model, EngineReport report, Instant now) {
        EngineNotice notice = notice(model, report, report.loading() ? ordered : 0);
        boolean repeated = notice.equals(last) && lastAt.plus(REPEAT_INTERVAL).isAfter(now);
        if (!repeated && !now.isBefore(ordersVisibleAt)) {
            send(notice, now);
        }
    }

    private EngineNotice notice(String model, EngineReport report, int loading) {
        int served = report.models().getOrDefault(model, 0);
        return new EngineNotice(engineAddress, report.incarnation(), model, served, loading);
    }

    private void send(EngineNotice notice, Instant now) {
        last = notice;
        lastAt = now;
        recipients.accept(notice);
    }
}
