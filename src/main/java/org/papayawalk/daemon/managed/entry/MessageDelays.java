package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.ResponseDelays;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Delays of messages to upstreams. The link of a single host may be congested as well as the links
 * to its failure domain, so both are measured. Confined to the event loop thread.
 */
final class MessageDelays {
    /** An entry sends a single upstream about one request a second. */
    private static final Duration UPSTREAM_RECENCY = Duration.ofSeconds(2);

    private static final Duration DOMAIN_RECENCY = Duration.ofMillis(600);

    private final ResponseDelays<UpstreamId> byUpstream = new ResponseDelays<>(UPSTREAM_RECENCY);

    private final ResponseDelays<DomainId> byDomain = new ResponseDelays<>(DOMAIN_RECENCY);

    /** Request that was sent to an upstream. Confined to the event loop thread. */
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
         * Records the head of the response.
         *
         * @param now present time
         */
        void responded(Instant now) {
            byUpstream.responded(upstream.id(), toUpstream, now);
            byDomain.responded(upstream.domain(), toDomain, now);
        }

        /** Records the end of the request. No effect if its response has begun. */
        void ended() {
            byUpstream.ended(upstream.id(), toUpstream);
            byDomain.ended(upstream.domain(), toDomain);
        }
    }

    /**
     * Records that a request is sent.
     *
     * @param upstream upstream
     * @param now present time
     * @return request
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
        Duration own = byUpstream.estimate(upstream.id(), now);
        Duration domain = byDomain.estimate(upstream.domain(), now);
        return own.compareTo(domain) > 0 ? own : domain;
    }
}
