package org.papayawalk.daemon.managed.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.stream.BodyEnd;

/** Counters and latency histograms of an entry. Thread-safe. */
final class ManagedEntryMetrics {
    private static final double MILLIS_PER_SECOND = 1000;

    // Upper bounds of the buckets of the histograms.
    private static final double[] FIRST_PART_SECONDS = {
        0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4
    };

    private static final double[] SEND_DELAY_SECONDS = {0.01, 0.05, 0.2, 0.6, 1.2};

    private static final double[] BEGIN_DELAY_SECONDS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};

    private final Counter received;

    /** Labeled by service and status. */
    private final Counter completed;

    /** Attempts beyond the first of a request, by service. */
    private final Counter retries;

    /** Seconds to the first part of the response, by service. */
    private final Histogram firstPartLatency;

    /** Seconds from the choice of an upstream until the request is sent, by service. */
    private final Histogram sendDelay;

    /** Seconds from sending a request to the head of the response, by service. */
    private final Histogram beginDelay;

    /** Attempts withdrawn because the version of the weights expired, by service. */
    private final Counter withdrawn;

    /** Attempts by service and by whether they left the failure domain of the entry. */
    private final Counter placed;

    /** Bodies of upstreams that ended, by service and by what told their end. */
    private final Counter responsesEnded;

    /** Streams that ended inside an event, by service and by what told their end. */
    private final Counter endedInsideEvent;

    /**
     * Registers the metrics.
     *
     * @param registry registry
     */
    ManagedEntryMetrics(PrometheusRegistry registry) {
        received = counter(registry, "papayawalk_requests_received_total", "Requests read whole");
        completed =
                counter(
                        registry,
                        "papayawalk_requests_ended_total",
                        "Requests over",
                        "service",
                        "status");
        retries =
                counter(
                        registry,
                        "papayawalk_repeats_total",
                        "Sendings of a request beyond its first",
                        "service");
        firstPartLatency =
                histogram(
                        registry,
                        "papayawalk_first_part_seconds",
                        "Time from reading a request to the first part of its answer",
                        FIRST_PART_SECONDS);
        sendDelay =
                histogram(
                        registry,
                        "papayawalk_attempt_send_delay_seconds",
                        "Time from the choice of an upstream until the request is sent",
                        SEND_DELAY_SECONDS);
        beginDelay =
                histogram(
                        registry,
                        "papayawalk_attempt_begin_delay_seconds",
                        "Time from sending a request to the head of its response",
                        BEGIN_DELAY_SECONDS);
        withdrawn =
                counter(
                        registry,
                        "papayawalk_attempts_withdrawn_total",
                        "Attempts withdrawn because the version of the weights expired",
                        "service");
        placed =
                counter(
                        registry,
                        "papayawalk_attempts_placed_total",
                        "Attempts by domain, own or other",
                        "service",
                        "domain");
        responsesEnded =
                bodyCounter(
                        registry,
                        "papayawalk_upstream_responses_ended_total",
                        "Bodies of upstreams that ended, by what told their end");
        endedInsideEvent =
                bodyCounter(
                        registry,
                        "papayawalk_streams_ended_inside_event_total",
                        "Streams of upstreams that ended inside an event");
    }

    private static Counter bodyCounter(PrometheusRegistry registry, String name, String help) {
        return counter(registry, name, help, "service", "end");
    }

    private static Counter counter(
            PrometheusRegistry registry, String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private static Histogram histogram(
            PrometheusRegistry registry, String name, String help, double... bounds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicUpperBounds(bounds)
                .classicOnly()
                .labelNames("service")
                .register(registry);
    }

    /** Counts a request that was received completely. */
    void received() {
        received.inc();
    }

    /**
     * Counts a request that has ended.
     *
     * @param request data of the request
     */
    void completed(RequestRecord request) {
        completed.labelValues(request.service(), Integer.toString(request.status())).inc();
        if (request.attempts() > 1) {
            retries.labelValues(request.service()).inc(request.attempts() - 1);
        }
        request.firstPartAt()
                .ifPresent(
                        t -> {
                            Duration d = Duration.between(request.receivedAt(), t);
                            firstPartLatency
                                    .labelValues(request.service())
                                    .observe(d.toMillis() / MILLIS_PER_SECOND);
                        });
    }

    /**
     * Records how long a request waited for a connection to its upstream.
     *
     * @param service service of the upstream
     * @param delay time from the choice of the upstream until the request was sent
     */
    void sent(ServiceId service, Duration delay) {
        sendDelay.labelValues(service.value()).observe(delay.toMillis() / MILLIS_PER_SECOND);
    }

    /**
     * Records how long an upstream took to begin its response.
     *
     * @param service service of the upstream
     * @param delay time from sending the request to the head of the response
     */
    void responseBegan(ServiceId service, Duration delay) {
        beginDelay.labelValues(service.value()).observe(delay.toMillis() / MILLIS_PER_SECOND);
    }

    /**
     * Counts an attempt that was withdrawn.
     *
     * @param service service of the upstream
     */
    void withdrawn(ServiceId service) {
        withdrawn.labelValues(service.value()).inc();
    }

    /**
     * Counts an attempt.
     *
     * @param service service of the upstream
     * @param near whether the upstream lies in the failure domain of the entry
     */
    void placed(ServiceId service, boolean near) {
        placed.labelValues(service.value(), near ? "own" : "other").inc();
    }

    /**
     * Counts a body of an upstream that has ended.
     *
     * @param service service of the upstream
     * @param end what told its end
     */
    void responseEnded(ServiceId service, BodyEnd end) {
        responsesEnded.labelValues(service.value(), end.label()).inc();
    }

    /**
     * Counts a stream of an upstream that ended inside an event.
     *
     * @param service service of the upstream
     * @param end what told its end
     */
    void streamEndedInsideEvent(ServiceId service, BodyEnd end) {
        endedInsideEvent.labelValues(service.value(), end.label()).inc();
    }
}
