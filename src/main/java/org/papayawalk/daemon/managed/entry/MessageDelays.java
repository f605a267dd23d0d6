package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.ResponseDelays;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Delays of messages to upstreams, from requests and from connections that are opened. The link of
 * a single host may be congested as well as the links to its failure domain, so both are measured.
 * Confined to the event loop thread.
 */
final class MessageDelays {
    /** An entry sends a single upstream about one request a second. */
    private static final Duration UPSTREAM_RECENCY = Duration.ofSeconds(2);

    private static final Duration DOMAIN_RECENCY = Duration.ofMillis(300);

    /**
     * Bound on the delay by the link of a single host, which only its agent can congest. What is
     * beyond it is a wait in the queue of the upstream.
     */
    private static final Duration MAX_HOST_DELAY = Duration.ofMillis(500);

    private final ResponseDelays<UpstreamId> byUpstream = new ResponseDelays<>(UPSTREAM_RECENCY);

    private final ResponseDelays<DomainId> byDomain = new ResponseDelays<>(DOMAIN_RECENCY);

    /** Message that was sent to an upstream. Confined to the event loop thread. */
    final class Sent {
        private final UpstreamRegistration upstream;

        private final ResponseDelays.Sent toUpstream;

        private final ResponseDelays.Sent toDomain;

        private Sent(UpstreamRegistration upstream, Instant now) {
            this.upstream = upstream;
            toUpstream = byUpstream.sent(upstream.id(), now);
            toDomain = byDomain.sent(upstream.domain(), now);
        }

        /**
         * Records the start of the answer.
         *
         * @param now present time
         */
        void answered(Instant now) {
            byUpstream.answered(upstream.id(), toUpstream, now);
            byDomain.answered(upstream.domain(), toDomain, now);
        }

        /**
         * Records that no answer is waited for any more. No effect after an answer.
         *
         * @param now present time
         */
        void ended(Instant now) {
            byUpstream.ended(toUpstream, now);
            byDomain.ended(toDomain, now);
        }
    }

    /**
     * Records that a message is sent: a request, or the first packet of a connection.
     *
     * @param upstream upstream
     * @param now present time
     * @return message
     */
    Sent sent(UpstreamRegistration upstream, Instant now) {
        return new Sent(upstream, now);
    }

    /**
     * Returns how long a message to an upstream may take.
     *
     * @param upstream upstream
     * @param now present time
     * @return zero if nothing is known of the last seconds
     */
    Duration estimate(UpstreamRegistration upstream, Instant now) {
        Duration own = shorter(byUpstream.estimate(upstream.id(), now), MAX_HOST_DELAY);
        Duration domain = byDomain.estimate(upstream.domain(), now);
        return own.compareTo(domain) > 0 ? own : domain;
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
