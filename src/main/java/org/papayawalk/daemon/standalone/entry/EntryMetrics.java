package org.papayawalk.daemon.standalone.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.papayawalk.core.Outcome;

/** Metrics of an entry. Thread-safe. */
public final class EntryMetrics {
    private final Counter requests;

    /**
     * Registers the metrics.
     *
     * @param registry registry that the daemon exposes
     */
    public EntryMetrics(PrometheusRegistry registry) {
        requests =
                Counter.builder()
                        .name("papayawalk_requests_total")
                        .help("Callers' requests by outcome")
                        .labelNames("outcome")
                        .register(registry);
    }

    /**
     * Counts a finished request.
     *
     * @param outcome outcome reported to the caller
     */
    void countOutcome(Outcome outcome) {
        requests.labelValues(outcome.label()).inc();
    }
}
