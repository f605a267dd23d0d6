package org.papayawalk.daemon.standalone.entry;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import org.papayawalk.adapter.standalone.BlockingHttpServer;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.id.HostId;
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

/** Role of the process that callers talk to. Thread-safe. */
public final class EntryRole implements RoleHandler, AutoCloseable {
    /** Crashes after which a request is refused. */
    private static final int SUSPECT_CRASHES = 2;

    /** Time for which a crash counts against a request. */
    private static final Duration SUSPECT_MEMORY = Duration.ofMinutes(10);

    /** Node. */
    private final Node node;

    /** Requests that crashed upstreams. */
    private final SuspectRegistry suspects = new SuspectRegistry(SUSPECT_CRASHES, SUSPECT_MEMORY);

    /** Callers' interface. */
    private final CallerEndpoint endpoint;

    /** Server for callers. */
    private final BlockingHttpServer server;

    /** Whether the entry takes no new work. */
    private volatile boolean draining;

    /**
     * Creates the role and listens for callers.
     *
     * @param node node
     * @param settings settings
     * @param objects object store
     * @param metrics counters
     * @throws IOException if the address to listen on cannot be used
     */
    public EntryRole(Node node, EntrySettings settings, ObjectStore objects, EntryMetrics metrics)
            throws IOException {
        this.node = node;
        Dispatcher dispatcher = new Dispatcher(node);
        EntryServices services =
                new EntryServices(dispatcher, new TokenBucketRetryBudget(), suspects, node.clock());
        IdempotencyTable table = new IdempotencyTable(node.platform().table(), node.clock());
        AtMostOnceCalls onceCalls =
                new AtMostOnceCalls(
                        dispatcher,
                        table,
                        new ResponseReplayer(objects),
                        node.self().host(),
                        node.clock());
        endpoint =
                new CallerEndpoint(
                        node,
                        new RequestParser(settings.maxBodyBytes()),
                        services,
                        onceCalls,
                        metrics);
        server = new BlockingHttpServer(settings.httpListen(), endpoint);
    }

    /**
     * Tells whether the entry can serve callers.
     *
     * @return true once it has a configuration and until it drains
     */
    public boolean ready() {
        return !draining && node.configuration().version().isAfter(ConfigVersion.ZERO);
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return 0 or more
     */
    public int inProgress() {
        return endpoint.inProgress();
    }

    /**
     * Waits for requests in progress after {@link #drain}, then stops listening.
     *
     * @param limit longest wait
     */
    public void finish(Duration limit) {
        server.drain(limit);
    }

    @Override
    public void describe(Heartbeat.Builder heartbeat) {
        heartbeat
                .setDraining(draining)
                .setInFlight(endpoint == null ? 0 : endpoint.inProgress())
                .setUpstreamHealthy(true)
                .setRolloutStep(RolloutStep.SERVING.name());
    }

    @Override
    public Collection<HostId> extraNeighbours(List<Member> members) {
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
        if (suspects.recordCrash(
                n.getFingerprint(), host + "/" + n.getUpstreamIncarnation(), now)) {
            Event.named("request-suspected")
                    .with("fingerprint", n.getFingerprint())
                    .with("host", host)
                    .with("verdict", suspects.verdict(n.getFingerprint(), now))
                    .warn();
        }
    }

    @Override
    public void closed(PeerServerConnection from) {
        // An entry keeps no state for the connections that others opened to it.
    }

    @Override
    public void tick(Instant now) {
        // An entry acts on requests and messages only.
    }

    @Override
    public void drain(String reason) {
        if (!draining) {
            Event.named("draining").with("reason", reason).info();
        }
        draining = true;
    }

    @Override
    public List<String> notes() {
        if (draining) {
            return List.of("leaving, " + inProgress() + " requests still run");
        }
        return ready() ? List.of() : List.of("no configuration is known");
    }

    @Override
    public void close() {
        server.close();
    }
}
