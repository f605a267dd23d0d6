package org.papayawalk.daemon.standalone.entry;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.core.config.FleetPlan;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.member.PeerReport;
import org.papayawalk.core.route.AffinityRouter;
import org.papayawalk.core.route.OutlierDetector;
import org.papayawalk.core.route.RouteCandidate;
import org.papayawalk.core.route.Router;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.wire.proto.Header;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.UpstreamRequest;

/** Chooses agents and dispatches requests to them. Thread-safe. */
final class Dispatcher {
    /** Time that an agent has to end a request after its deadline. */
    static final Duration DEADLINE_GRACE = Duration.ofMillis(500);

    /** Node. */
    private final Node node;

    /** Estimates of load. */
    private final AgentLoadTracker loads = new AgentLoadTracker();

    /** Hosts that fail. */
    private final OutlierDetector outliers = new OutlierDetector();

    /** Chooses among candidates. */
    private final Router router = new AffinityRouter();

    /**
     * Creates a dispatcher.
     *
     * @param node node
     */
    Dispatcher(Node node) {
        this.node = node;
    }

    /**
     * Chooses an agent.
     *
     * @param request request
     * @param digest version that the agent must serve, or none for any that the plan accepts
     * @param excluded hosts that were tried
     * @return the agent, or empty if there is none
     */
    Optional<RouteCandidate> choose(ParsedRequest request, Digest digest, Set<HostId> excluded) {
        Instant now = node.clock().instant();
        FleetPlan plan = request.plan();
        List<RouteCandidate> candidates = new ArrayList<>();
        for (Member m : node.members()) {
            if (!excluded.contains(m.host()) && eligible(m, plan, digest, now)) {
                candidates.add(candidate(m));
            }
        }
        return router.choose(
                candidates,
                node.self().domain(),
                request.affinityKey(),
                ThreadLocalRandom.current());
    }

    /**
     * Sends a request that may be repeated to an agent.
     *
     * @param request request
     * @param candidate agent
     * @param suspect whether it was running when an upstream crashed
     * @param resumeFrom events that the caller already has
     * @return the attempt
     */
    Attempt dispatch(
            ParsedRequest request, RouteCandidate candidate, boolean suspect, int resumeFrom) {
        return send(
                candidate,
                message(request, candidate).setSuspect(suspect).setResumeFrom(resumeFrom));
    }

    /**
     * Sends a non-idempotent call to an agent.
     *
     * @param request request
     * @param candidate agent
     * @param onceKey key of the call's row
     * @param onceToken token of the claim
     * @return the attempt
     */
    Attempt dispatchOnce(
            ParsedRequest request, RouteCandidate candidate, String onceKey, String onceToken) {
        return send(
                candidate, message(request, candidate).setOnceKey(onceKey).setOnceToken(onceToken));
    }

    /**
     * Sends a message to an agent.
     *
     * @param candidate agent
     * @param message request
     * @return the attempt
     */
    private Attempt send(RouteCandidate candidate, UpstreamRequest.Builder message) {
        loads.sent(candidate.host());
        Attempt attempt = new Attempt(candidate, this::heard, node.clock());
        attempt.send(node.client(), message);
        return attempt;
    }

    /**
     * Builds the message of a request.
     *
     * @param request request
     * @param candidate agent
     * @return message
     */
    private UpstreamRequest.Builder message(ParsedRequest request, RouteCandidate candidate) {
        Instant now = node.clock().instant();
        long remaining = Math.max(0, Duration.between(now, request.deadline()).toMillis());
        UpstreamRequest.Builder message =
                UpstreamRequest.newBuilder()
                        .setFleet(request.plan().spec().fleet().value())
                        .setDigest(candidate.serving().value())
                        .setTeam(request.team().value())
                        .setPriority(request.priority().ordinal())
                        .setRemainingMillis((int) remaining)
                        .setMethod(request.method())
                        .setPath(request.path())
                        .setBody(ByteString.copyFrom(request.body()))
                        .setFingerprint(request.fingerprint());
        for (HttpHeader h : request.headers()) {
            message.addHeaders(Header.newBuilder().setName(h.name()).setValue(h.value()));
        }
        return message;
    }

    /**
     * Records the end that an agent gave.
     *
     * @param attempt attempt that ended
     * @param end end message
     */
    void ended(Attempt attempt, ResponseEnd end) {
        HostId host = attempt.candidate().host();
        attempt.end();
        loads.ended(host);
        loads.reported(host, end.getInFlight() + end.getQueued());
        if (end.getUpstreamCrashed()) {
            outliers.failed(host, node.clock().instant());
        } else {
            outliers.succeeded(host);
        }
    }

    /**
     * Records that an attempt ended without the agent's word.
     *
     * @param attempt attempt
     * @param suspicious whether the agent may be at fault
     */
    void abandoned(Attempt attempt, boolean suspicious) {
        HostId host = attempt.candidate().host();
        attempt.cancel();
        loads.ended(host);
        if (suspicious) {
            outliers.failed(host, node.clock().instant());
        }
    }

    /**
     * Tells whether a host may take a request.
     *
     * @param m host
     * @param plan plan of the fleet
     * @param digest version wanted, or none for any that the plan accepts
     * @param now present time
     * @return true if it may
     */
    private boolean eligible(Member m, FleetPlan plan, Digest digest, Instant now) {
        if (!ofFleet(m, plan) || m.leaving() || !m.heard(now) || !outliers.usable(m.host(), now)) {
            return false;
        }
        PeerReport r = m.report().orElseThrow();
        if (!r.upstreamHealthy() || r.capacity() < 1) {
            return false;
        }
        return digest.isPresent() ? r.serving().equals(digest) : plan.accepts(r.serving());
    }

    /**
     * Tells whether a host belongs to a fleet.
     *
     * @param m host
     * @param plan plan of the fleet
     * @return true if it does
     */
    private static boolean ofFleet(Member m, FleetPlan plan) {
        return m.record().role() == HostRole.AGENT
                && m.record().fleet().equals(plan.spec().fleet().value());
    }

    /**
     * Makes a candidate of a host.
     *
     * @param m host with a report
     * @return candidate
     */
    private RouteCandidate candidate(Member m) {
        PeerReport r = m.report().orElseThrow();
        int load = Math.max(loads.load(m.host()), r.inFlight() + r.queued());
        return new RouteCandidate(
                m.host(),
                m.record().domain(),
                m.record().address(),
                r.serving(),
                load,
                r.capacity());
    }

    /**
     * Tells whether the agent of a candidate was heard lately.
     *
     * @param candidate agent
     * @param now present time
     * @return false if it is silent
     */
    private boolean heard(RouteCandidate candidate, Instant now) {
        return node.member(candidate.host()).map(m -> m.heard(now)).orElse(false);
    }
}
