package org.papayawalk.daemon.standalone;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.papayawalk.adapter.standalone.ConfigCodec;
import org.papayawalk.core.config.ActiveConfiguration;
import org.papayawalk.core.config.Configuration;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.Member;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.log.Event;
import org.papayawalk.wire.EventLoops;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.PeerServer;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.Acknowledgement;
import org.papayawalk.wire.proto.ConfigDocument;
import org.papayawalk.wire.proto.ConfigQuery;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Heartbeat;
import org.papayawalk.wire.proto.Role;
import org.papayawalk.wire.proto.StatusReport;

/**
 * Common part of every stand-alone daemon: exchanges heartbeats, synchronizes the host list and the
 * configuration, and passes other messages to the role. Membership and configuration change on the
 * control thread only; public methods may be called from any thread.
 */
public final class Node implements MessageHandler, AutoCloseable {
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

    private static final Duration CONFIG_QUERY_TIMEOUT = Duration.ofSeconds(2);

    // Interval at which the node checks whether a read of the configuration is due.
    private static final Duration CONFIG_CHECK_INTERVAL = Duration.ofMillis(500);

    private static final Duration HOST_LIST_INTERVAL = Duration.ofSeconds(2);

    private static final Duration ROLE_TICK_INTERVAL = Duration.ofMillis(100);

    private final NodeSettings settings;

    private final PlatformServices platform;

    private final InstantSource clock;

    private final Executor blockingExecutor;

    // Start time of this process in milliseconds since the epoch.
    private final long incarnation;

    private final ControlThread controlThread;

    private final PeerClient client;

    private final PeerServer server;

    private final ActiveConfiguration activeConfiguration = new ActiveConfiguration();

    private final MembershipService membership;

    // Confined to the control thread.
    private final HostListSync hostListSync;

    // Confined to the control thread.
    private final ConfigSync configSync;

    // Null until start() is called, constant afterwards.
    private volatile RoleHandler role;

    /**
     * Creates a node that listens for other daemons but does not send anything and drops received
     * messages until {@link #start} is called.
     *
     * @param settings settings of the node
     * @param platform clients of the platform's services
     * @param runtime event loops of the connections to other daemons
     * @param clock monotonic clock
     * @param blockingExecutor threads for blocking calls
     * @throws IOException if the address to listen on cannot be used
     */
    public Node(
            NodeSettings settings,
            PlatformServices platform,
            EventLoops runtime,
            InstantSource clock,
            Executor blockingExecutor)
            throws IOException {
        this.settings = settings;
        this.platform = platform;
        this.clock = clock;
        this.blockingExecutor = blockingExecutor;
        HostRecord self = settings.self();
        incarnation = clock.instant().toEpochMilli();
        controlThread = new ControlThread("control-" + self.host());
        client = new PeerClient(runtime);
        membership = new MembershipService(self, client, controlThread, clock);
        hostListSync =
                new HostListSync(
                        platform.hostList(),
                        settings.seeds(),
                        client,
                        controlThread,
                        blockingExecutor,
                        this::applyHostList);
        configSync =
                new ConfigSync(
                        self,
                        new ConfigReader(platform.table()),
                        activeConfiguration,
                        controlThread,
                        blockingExecutor,
                        this::onConfigAdopted);
        server = new PeerServer(runtime, settings.listen(), this);
    }

    /**
     * Starts all periodic tasks and the handling of messages. Must be called once.
     *
     * @param handler role of the daemon
     */
    public void start(RoleHandler handler) {
        role = handler;
        controlThread.execute(hostListSync::read);
        controlThread.scheduleRepeatedly(HOST_LIST_INTERVAL, hostListSync::read);
        controlThread.scheduleRepeatedly(HEARTBEAT_INTERVAL, this::exchangeHeartbeats);
        controlThread.scheduleRepeatedly(
                CONFIG_CHECK_INTERVAL, () -> configSync.poll(members(), clock.instant()));
        controlThread.scheduleRepeatedly(ROLE_TICK_INTERVAL, () -> role.tick(clock.instant()));
    }

    /**
     * Returns the host record of this daemon.
     *
     * @return record from the settings
     */
    public HostRecord self() {
        return settings.self();
    }

    /**
     * Returns the thread to which membership, configuration and role state are confined.
     *
     * @return control thread, closed with the node
     */
    public ControlThread controlThread() {
        return controlThread;
    }

    /**
     * Returns the client for messages to other daemons.
     *
     * @return client, closed with the node
     */
    public PeerClient client() {
        return client;
    }

    /**
     * Returns the clock of the daemon.
     *
     * @return monotonic clock
     */
    public InstantSource clock() {
        return clock;
    }

    /**
     * Returns the executor for blocking calls, which must not run on the control thread or on event
     * loop threads.
     *
     * @return executor
     */
    public Executor blockingExecutor() {
        return blockingExecutor;
    }

    /**
     * Returns the clients of the platform's services.
     *
     * @return clients
     */
    public PlatformServices platform() {
        return platform;
    }

    /**
     * Returns a snapshot of the known hosts.
     *
     * @return immutable list in no particular order, empty until a host list was received
     */
    public List<Member> members() {
        return membership.members();
    }

    /**
     * Looks up a known host.
     *
     * @param host name of the host
     * @return the host, or empty if it is unknown
     */
    public Optional<Member> member(HostId host) {
        return membership.member(host);
    }

    /**
     * Returns the configuration in force.
     *
     * @return {@link Configuration#EMPTY} until a configuration was received
     */
    public Configuration configuration() {
        return activeConfiguration.current();
    }

    /**
     * Returns the size of all control messages sent to other daemons.
     *
     * @return bytes since the start of the process
     */
    public long controlBytesSent() {
        return client.controlBytesSent() + server.controlBytesSent();
    }

    /**
     * Sends a heartbeat to every neighbor without waiting for the next interval, for example after
     * a rollout step.
     */
    public void sendHeartbeatsNow() {
        controlThread.execute(this::exchangeHeartbeats);
    }

    /**
     * Builds a heartbeat with the present state of this daemon.
     *
     * @return heartbeat, with the fields of the role once the node is started
     */
    public Heartbeat buildHeartbeat() {
        HostRecord self = settings.self();
        Heartbeat.Builder heartbeat =
                Heartbeat.newBuilder()
                        .setHost(self.host().value())
                        .setDomain(self.domain().value())
                        .setRole(self.role() == HostRole.ENTRY ? Role.ENTRY : Role.AGENT)
                        .setIncarnation(incarnation)
                        .setConfigVersion(activeConfiguration.current().version().number())
                        .setFleet(self.fleet());
        RoleHandler handler = role;
        if (handler != null) {
            handler.addToHeartbeat(heartbeat);
        }
        return heartbeat.build();
    }

    @Override
    public void onMessage(Envelope message, PeerServerConnection from) {
        RoleHandler handler = role;
        if (handler == null) {
            // Not started yet; the sender retries.
            return;
        }
        switch (message.getBodyCase()) {
            case HEARTBEAT -> {
                reply(message, from, Envelope.newBuilder().setHeartbeat(buildHeartbeat()));
                controlThread.execute(() -> handleHeartbeat(message.getHeartbeat()));
            }
            case CONFIG_QUERY -> reply(message, from, DocumentMessages.of(configuration()));
            case CONFIG_DOCUMENT ->
                    handleConfigDocument(message.getConfigDocument(), from.remoteAddress());
            case HOSTS_QUERY -> reply(message, from, DocumentMessages.of(members()));
            case STATUS_QUERY -> {
                StatusReport.Builder report =
                        StatusReport.newBuilder()
                                .setSelf(buildHeartbeat())
                                .addAllNotes(handler.statusNotes());
                reply(message, from, Envelope.newBuilder().setStatusReport(report));
            }
            case DRAIN_REQUEST -> {
                handler.drain(message.getDrainRequest().getReason());
                Acknowledgement accepted = Acknowledgement.newBuilder().setAccepted(true).build();
                reply(message, from, Envelope.newBuilder().setAcknowledgement(accepted));
                sendHeartbeatsNow();
            }
            default -> handler.received(message, from);
        }
    }

    @Override
    public void onClose(PeerServerConnection from) {
        RoleHandler handler = role;
        if (handler != null) {
            handler.closed(from);
        }
    }

    @Override
    public void close() {
        controlThread.close();
        server.close();
        client.close();
    }

    private static void reply(Envelope request, PeerServerConnection from, Envelope.Builder reply) {
        from.send(reply.setCall(request.getCall()).build());
    }

    private void handleConfigDocument(ConfigDocument document, String peer) {
        if (document.getVersion() <= activeConfiguration.current().version().number()) {
            return;
        }
        ConfigCodec.read(document.getDocument().toByteArray(), peer)
                .peek(c -> controlThread.execute(() -> configSync.adopt(c, peer)))
                .peekLeft(f -> Event.named("config-rejected").with("fault", f).warn());
    }

    // Pushes the new configuration to all neighbors before the role acts on it.
    private void onConfigAdopted() {
        Envelope push = DocumentMessages.of(configuration()).build();
        for (HostRecord neighbor : membership.neighbors(role)) {
            client.sendOneWay(neighbor.address(), TrafficClass.LIVE, push);
        }
        role.tick(clock.instant());
    }

    // Returns false if the list was ignored. The first list triggers a heartbeat at once.
    private boolean applyHostList(List<HostRecord> list) {
        boolean first = members().isEmpty();
        boolean applied = membership.applyHostList(list);
        if (first && applied) {
            exchangeHeartbeats();
        }
        return applied;
    }

    private void exchangeHeartbeats() {
        membership.exchangeHeartbeats(
                buildHeartbeat(), membership.neighbors(role), this::handleHeartbeat);
    }

    // Queries the peer for its configuration if the heartbeat reports a higher version.
    private void handleHeartbeat(Heartbeat heartbeat) {
        membership
                .recordHeartbeat(heartbeat)
                .filter(r -> r.configVersion().isAfter(activeConfiguration.current().version()))
                .flatMap(r -> member(r.host()))
                .ifPresent(m -> queryConfig(m.record()));
    }

    private void queryConfig(HostRecord peer) {
        Envelope.Builder query =
                Envelope.newBuilder().setConfigQuery(ConfigQuery.getDefaultInstance());
        String name = peer.host().value();
        client.request(peer.address(), TrafficClass.LIVE, query, CONFIG_QUERY_TIMEOUT)
                .thenAccept(
                        reply ->
                                reply.peek(r -> handleConfigDocument(r.getConfigDocument(), name)));
    }
}
