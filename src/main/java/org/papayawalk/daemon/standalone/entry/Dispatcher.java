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

/**
 * Chooses agents, dispatches requests to them and records how the attempts end, for load estimates
 * and outlier detection. Thread-safe.
 */
final class Dispatcher {
    /** Time after its deadline within which an agent should end a request. */
    static final Duration DEADLINE_GRACE = Duration.ofMillis(500);

    private final Node node;
    private final AgentLoadTracker loads = new AgentLoadTracker();
    private final OutlierDetector outliers = new OutlierDetector();
    private final Router router = new AffinityRouter();

    /**
     * Creates a dispatcher.
     *
     * @param node node that holds the members and the client for peers
     */
    Dispatcher(Node node) {
        this.node = node;
    }

    /**
     * Chooses an agent for a request.
     *
     * @param request request to dispatch
     * @param digest version that the agent must serve, or none for any that the plan accepts
     * @param excluded hosts that must not be chosen, because they were tried before
     * @return the agent, or empty if no agent is eligible
     */
    Optional<RouteCandidate> choose(ParsedRequest request, Digest digest, Set<HostId> excluded) {
        Instant now = node.clock().instant();
        FleetPlan plan = request.plan();
        List<RouteCandidate> candidates = new ArrayList<>();
        for (Member m : node.members()) {
            if (!excluded.contains(m.host()) && eligible(m, plan, digest, now)) {
                candidates.add(toCandidate(m));
            }
        }
        return router.choose(
                candidates,
                node.self().domain(),
                request.affinityKey(),
                ThreadLocalRandom.current());
    }

    /**
     * Dispatches a request outside the at-most-once protocol.
     *
     * @param request request to send
     * @param candidate agent to send it to
     * @param suspect whether the request was running when an upstream crashed
     * @param resumeFrom number of events that the caller already received, which are skipped
     * @return the attempt, already sent
     */
    Attempt dispatch(
            ParsedRequest request, RouteCandidate candidate, boolean suspect, int resumeFrom) {
        return send(
                candidate,
                message(request, candidate).setSuspect(suspect).setResumeFrom(resumeFrom));
    }

    /**
     * Dispatches a non-idempotent call, which the agent starts only if the row of the call is still
     * claimed under the token.
     *
     * @param request request to send
     * @param candidate agent to send it to
     * @param suspect whether the same call was running when an upstream crashed
     * @param onceKey key of the row of the call
     * @param onceToken token of the claim
     * @return the attempt, already sent
     */
    Attempt dispatchNonIdempotent(
            ParsedRequest request,
            RouteCandidate candidate,
            boolean suspect,
            String onceKey,
            String onceToken) {
        return send(
                candidate,
                message(request, candidate)
                        .setSuspect(suspect)
                        .setOnceKey(onceKey)
                        .setOnceToken(onceToken));
    }

    private Attempt send(RouteCandidate candidate, UpstreamRequest.Builder message) {
        loads.recordDispatch(candidate.host());
        Attempt attempt = new Attempt(candidate, this::isAlive, node.clock());
        attempt.send(node.client(), message);
        return attempt;
    }

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
        request.promptParts().forEach(p -> message.addPromptParts(p.value()));
        for (HttpHeader h : request.headers()) {
            message.addHeaders(Header.newBuilder().setName(h.name()).setValue(h.value()));
        }
        return message;
    }

    /**
     * Records that an agent ended an attempt. A crash of the upstream counts as a failure of the
     * host; any other end, also one without a response, counts as a success.
     *
     * @param attempt attempt that ended
     * @param end last message of the agent, with its present load
     */
    void recordEnd(Attempt attempt, ResponseEnd end) {
        HostId host = attempt.candidate().host();
        attempt.end();
        loads.recordEnd(host);
        loads.recordReport(host, end.getInFlight() + end.getQueued());
        if (end.getUpstreamCrashed()) {
            outliers.recordFailure(host, node.clock().instant());
        } else {
            outliers.recordSuccess(host);
        }
    }

    /**
     * Cancels an attempt that the agent has not ended.
     *
     * @param attempt attempt to cancel
     * @param hostFailed whether to count a failure of the host
     */
    void abandon(Attempt attempt, boolean hostFailed) {
        HostId host = attempt.candidate().host();
        attempt.cancel();
        loads.recordEnd(host);
        if (hostFailed) {
            outliers.recordFailure(host, node.clock().instant());
        }
    }

    private boolean eligible(Member m, FleetPlan plan, Digest digest, Instant now) {
        if (!isAgentOfFleet(m, plan)
                || m.leaving()
                || !m.reportedRecently(now)
                || !outliers.isSelectable(m.host(), now)) {
            return false;
        }
        PeerReport r = m.report().orElseThrow();
        if (!r.upstreamHealthy() || r.capacity() < 1) {
            return false;
        }
        return digest.isPresent() ? r.serving().equals(digest) : plan.accepts(r.serving());
    }

    private static boolean isAgentOfFleet(Member m, FleetPlan plan) {
        return m.record().role() == HostRole.AGENT
                && m.record().fleet().equals(plan.spec().fleet().value());
    }

    private RouteCandidate toCandidate(Member m) {
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

    private boolean isAlive(RouteCandidate candidate, Instant now) {
        return node.member(candidate.host()).map(m -> m.reportedRecently(now)).orElse(false);
    }
}
