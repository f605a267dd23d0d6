package org.papayawalk.daemon.standalone.entry;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import org.papayawalk.adapter.standalone.BlockingHttpServer;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.port.ObjectStore;
import org.papayawalk.core.rollout.RolloutStep;
import org.papayawalk.core.route.TokenBucketRetryBudget;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.daemon.standalone.RoleHandler;
import org.papayawalk.daemon.standalone.idempotency.IdempotencyTable;
import org.papayawalk.log.Event;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.CrashNotice;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Heartbeat;

/** Entry role of a stand-alone daemon, which serves the requests of callers. Thread-safe. */
public final class EntryRole implements RoleHandler, AutoCloseable {
    /** Upstream crashes during a request after which it is refused as a poison request. */
    static final int MAX_CRASHES = 2;

    /** Time after the last crash for which crashes count against a request. */
    private static final Duration CRASH_RETENTION = Duration.ofMinutes(10);

    private final Node node;
    private final SuspectRegistry suspects = new SuspectRegistry(MAX_CRASHES, CRASH_RETENTION);
    private final PromptPartGuard promptParts;
    private final CallerEndpoint endpoint;
    private final BlockingHttpServer server;
    private volatile boolean draining;

    /**
     * Creates the role and starts the HTTP server for callers.
     *
     * @param node node that the role belongs to
     * @param settings settings of the entry
     * @param objects object store that holds large stored responses
     * @param metrics metrics of requests
     * @throws IOException if the server cannot listen on its address
     */
    public EntryRole(Node node, EntrySettings settings, ObjectStore objects, EntryMetrics metrics)
            throws IOException {
        this.node = node;
        Dispatcher dispatcher = new Dispatcher(node);
        promptParts = new PromptPartGuard(node.self().host(), this::otherEntries);
        EntryServices services =
                new EntryServices(
                        dispatcher,
                        new TokenBucketRetryBudget(),
                        new SuspectGuard(suspects, promptParts),
                        promptParts,
                        node.clock());
        IdempotencyTable table = new IdempotencyTable(node.platform().table(), node.clock());
        AtMostOnceCalls atMostOnceCalls =
                new AtMostOnceCalls(
                        services, table, new ResponseReplayer(objects), node.self().host());
        endpoint =
                new CallerEndpoint(
                        node,
                        new RequestParser(settings.maxBodyBytes()),
                        services,
                        atMostOnceCalls,
                        metrics);
        server = new BlockingHttpServer(settings.httpListen(), endpoint);
    }

    /**
     * Returns whether the entry can serve callers.
     *
     * @return true after the first configuration was received and before {@link #drain}
     */
    public boolean ready() {
        return !draining && node.configuration().version().isAfter(ConfigVersion.ZERO);
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return number, including streams that are not finished
     */
    public int inProgress() {
        return endpoint.inProgress();
    }

    /**
     * Waits for requests in progress after {@link #drain}, then stops the HTTP server.
     *
     * @param limit maximum time to wait
     */
    public void finish(Duration limit) {
        server.drain(limit);
    }

    @Override
    public void addToHeartbeat(Heartbeat.Builder heartbeat) {
        heartbeat
                .setDraining(draining)
                .setInFlight(endpoint == null ? 0 : endpoint.inProgress())
                .setUpstreamHealthy(true)
                .setRolloutStep(RolloutStep.SERVING.name());
    }

    @Override
    public Collection<HostId> additionalNeighbors(List<Member> members) {
        return List.of();
    }

    @Override
    public void received(Envelope message, PeerServerConnection from) {
        if (!message.hasCrashNotice()) {
            return;
        }
        CrashNotice n = message.getCrashNotice();
        Instant now = node.clock().instant();
        HostId host = new HostId(n.getHost());
        List<PromptPartId> parts = PromptParts.ofMessage(n.getPromptPartsList());
        promptParts.recordCrash(parts, host, n.getUpstreamIncarnation(), now);
        if (suspects.recordCrash(
                n.getFingerprint(), host + "/" + n.getUpstreamIncarnation(), now)) {
            Event.named("request-suspected")
                    .with("fingerprint", n.getFingerprint())
                    .with("host", host)
                    .with("verdict", suspects.verdict(n.getFingerprint(), now))
                    .with("parts", parts)
                    .with("parts_verdict", promptParts.verdict(parts, now))
                    .warn();
        }
    }

    @Override
    public void closed(PeerServerConnection from) {
        // An entry keeps no state per connection.
    }

    @Override
    public void tick(Instant now) {
        // An entry has no periodic work.
    }

    @Override
    public void drain(String reason) {
        if (!draining) {
            Event.named("draining").with("reason", reason).info();
        }
        draining = true;
    }

    @Override
    public List<String> statusNotes() {
        if (draining) {
            return List.of("draining, " + inProgress() + " requests in progress");
        }
        return ready() ? List.of() : List.of("no configuration received yet");
    }

    @Override
    public void close() {
        server.close();
    }

    private List<HostId> otherEntries() {
        Instant now = node.clock().instant();
        return node.members().stream()
                .filter(m -> m.record().role() == HostRole.ENTRY && m.presumedAlive(now))
                .map(Member::host)
                .toList();
    }
}
