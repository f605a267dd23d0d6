package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.limit.UpstreamLimits;
import org.papayawalk.core.place.WithheldUpstreams;
import org.papayawalk.log.Event;

/**
 * Records what answers state of the upstreams that gave them, and logs what is new. Confined to the
 * event loop thread.
 */
final class UpstreamStatements {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final UpstreamLimits limits;

    private final WithheldUpstreams withheld;

    /**
     * Creates a recorder.
     *
     * @param limits limits that upstreams have stated
     * @param withheld upstreams that take no new requests
     */
    UpstreamStatements(UpstreamLimits limits, WithheldUpstreams withheld) {
        this.limits = limits;
        this.withheld = withheld;
    }

    /**
     * Records what an answer states of the limit of its upstream.
     *
     * @param process upstream process that answered
     * @param answer metadata of the answer
     * @param sentAt when the request was sent
     * @param now present time
     */
    void recordLimit(
            UpstreamProcess process, ResponseMetadata answer, Instant sentAt, Instant now) {
        if (answer.limitPerSecond().isPresent()) {
            double perSecond = answer.limitPerSecond().getAsDouble();
            if (limits.stated(process, perSecond, now)) {
                Event.named("upstream-limited")
                        .with("upstream", process)
                        .with("per_second", perSecond)
                        .info();
            }
        } else if (answer.hasAuthenticationCode() && limits.notStated(process, sentAt)) {
            Event.named("upstream-unlimited").with("upstream", process).info();
        }
    }

    /**
     * Records whether an answer states that its upstream takes no new requests.
     *
     * @param process upstream process that answered
     * @param status status of the answer
     * @param answer metadata of the answer
     * @param now present time
     */
    void recordWithheld(UpstreamProcess process, int status, ResponseMetadata answer, Instant now) {
        if (answer.leaving() && withheld.leaving(process)) {
            Event.named("upstream-leaving").with("upstream", process).info();
        }
        if (status == SERVICE_UNAVAILABLE) {
            answer.retryAfter().ifPresent(delay -> recordRefusal(process, delay, now));
        }
    }

    private void recordRefusal(UpstreamProcess process, Duration delay, Instant now) {
        if (withheld.refusing(process, delay, now)) {
            Event.named("upstream-refusing")
                    .with("upstream", process)
                    .with("millis", delay.toMillis())
                    .info();
        }
    }
}
