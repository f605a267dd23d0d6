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
 * Common part of every daemon. Membership and configuration change on the control thread only; the
 * public methods are safe from any thread.
 */
public final class Node implements MessageHandler, AutoCloseable {
    /** Time between heartbeats to a neighbour. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

    /** Longest wait for a configuration from a peer. */
    private static final Duration QUERY_LIMIT = Duration.ofSeconds(2);

    /** Time between looks whether the configuration is to be read. */
    private static final Duration CONFIG_INTERVAL = Duration.ofMillis(500);

    /** Time between reads of the host list. */
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);

    /** Time between ticks of the role. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Settings. */
    private final NodeSettings settings;

    /** Services of the platform. */
    private final PlatformServices platform;

    /** Clock. */
    private final InstantSource clock;

    /** Threads for calls that block. */
    private final Executor work;

    /** Start time of this process in milliseconds since the epoch. */
    private final long incarnation;

    /** Control thread. */
    private final ControlThread control;

    /** Client for peers. */
    private final PeerClient client;

    /** Server for peers. */
    private final PeerServer server;

    /** Configuration in force. */
    private final ActiveConfiguration adoption = new ActiveConfiguration();

    /** Known hosts. */
    private final MembershipService neighbourhood;

    /** Reads the host list; control thread only. */
    private final HostListSync listSync;

    /** Reads and adopts configurations; control thread only. */
    private final ConfigSync configSync;

    /** Role, set once before the node starts. */
    private volatile RoleHandler role;

    /**
     * Creates a node and listens. {@link #start} makes it take part.
     *
     * @param settings settings
     * @param platform services of the platform
     * @param runtime event loops
     * @param clock clock
     * @param work threads for calls that block
     * @throws IOException if the address to listen on cannot be used
     */
    public Node(
            NodeSettings settings,
            PlatformServices platform,
            EventLoops runtime,
            InstantSource clock,
            Executor work)
            throws IOException {
        this.settings = settings;
        this.platform = platform;
        this.clock = clock;
        this.work = work;
        HostRecord self = settings.self();
        incarnation = clock.instant().toEpochMilli();
        control = new ControlThread("control-" + self.host());
        client = new PeerClient(runtime);
        neighbourhood = new MembershipService(self, client, control, clock);
        listSync =
                new HostListSync(
                        platform.hostList(),
                        settings.seeds(),
                        client,
                        control,
                        work,
                        this::takeList);
        configSync =
                new ConfigSync(
                        self,
                        new ConfigReader(platform.table()),
                        adoption,
                        control,
                        work,
                        this::configAdopted);
        server = new PeerServer(runtime, settings.listen(), this);
    }

    /**
     * Starts to take part.
     *
     * @param handler role of the daemon
     */
    public void start(RoleHandler handler) {
        role = handler;
        control.run(listSync::read);
        control.every(LIST_INTERVAL, listSync::read);
        control.every(HEARTBEAT_INTERVAL, this::heartbeat);
        control.every(CONFIG_INTERVAL, () -> configSync.poll(members(), clock.instant()));
        control.every(TICK_INTERVAL, () -> role.tick(clock.instant()));
    }

    /**
     * Returns the node's own line of the host list.
     *
     * @return as given in the settings
     */
    public HostRecord self() {
        return settings.self();
    }

    /**
     * Returns the control thread.
     *
     * @return control thread
     */
    public ControlThread control() {
        return control;
    }

    /**
     * Returns the client for peers.
     *
     * @return client
     */
    public PeerClient client() {
        return client;
    }

    /**
     * Returns the clock.
     *
     * @return clock
     */
    public InstantSource clock() {
        return clock;
    }

    /**
     * Returns the threads for calls that block.
     *
     * @return executor
     */
    public Executor work() {
        return work;
    }

    /**
     * Returns the services of the platform.
     *
     * @return services
     */
    public PlatformServices platform() {
        return platform;
    }

    /**
     * Returns the known hosts.
     *
     * @return immutable list
     */
    public List<Member> members() {
        return neighbourhood.members();
    }

    /**
     * Looks up a host.
     *
     * @param host name of the host
     * @return the host, or empty if it is not known
     */
    public Optional<Member> member(HostId host) {
        return neighbourhood.member(host);
    }

    /**
     * Returns the configuration in force.
     *
     * @return configuration
     */
    public Configuration configuration() {
        return adoption.current();
    }

    /**
     * Returns the bytes of control messages sent to peers.
     *
     * @return bytes since the start
     */
    public long controlBytesSent() {
        return client.controlBytesSent() + server.controlBytesSent();
    }

    /** Sends a heartbeat to every neighbour at once, such as after a step of the rollout. */
    public void announce() {
        control.run(this::heartbeat);
    }

    /**
     * Builds the daemon's heartbeat.
     *
     * @return heartbeat with the role's part
     */
    public Heartbeat describe() {
        HostRecord self = settings.self();
        Heartbeat.Builder heartbeat =
                Heartbeat.newBuilder()
                        .setHost(self.host().value())
                        .setDomain(self.domain().value())
                        .setRole(self.role() == HostRole.ENTRY ? Role.ENTRY : Role.AGENT)
                        .setIncarnation(incarnation)
                        .setConfigVersion(adoption.current().version().number())
                        .setFleet(self.fleet());
        RoleHandler handler = role;
        if (handler != null) {
            handler.describe(heartbeat);
        }
        return heartbeat.build();
    }

    @Override
    public void onMessage(Envelope message, PeerServerConnection from) {
        RoleHandler handler = role;
        if (handler == null) {
            // The role is not wired yet; the peer asks again.
            return;
        }
        switch (message.getBodyCase()) {
            case HEARTBEAT -> {
                reply(message, from, Envelope.newBuilder().setHeartbeat(describe()));
                control.run(() -> observe(message.getHeartbeat()));
            }
            case CONFIG_QUERY -> reply(message, from, DocumentMessages.of(configuration()));
            case CONFIG_DOCUMENT -> takeConfig(message.getConfigDocument(), from.remoteAddress());
            case HOSTS_QUERY -> reply(message, from, DocumentMessages.of(members()));
            case STATUS_QUERY -> {
                StatusReport.Builder report =
                        StatusReport.newBuilder().setSelf(describe()).addAllNotes(handler.notes());
                reply(message, from, Envelope.newBuilder().setStatusReport(report));
            }
            case DRAIN_REQUEST -> {
                handler.drain(message.getDrainRequest().getReason());
                Acknowledgement accepted = Acknowledgement.newBuilder().setAccepted(true).build();
                reply(message, from, Envelope.newBuilder().setAcknowledgement(accepted));
                announce();
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
        control.close();
        server.close();
        client.close();
    }

    /**
     * Sends a reply.
     *
     * @param request message to reply to
     * @param from connection that it came on
     * @param reply reply without its call number
     */
    private static void reply(Envelope request, PeerServerConnection from, Envelope.Builder reply) {
        from.send(reply.setCall(request.getCall()).build());
    }

    /**
     * Adopts a configuration that a peer sent.
     *
     * @param document configuration
     * @param peer peer that sent it
     */
    private void takeConfig(ConfigDocument document, String peer) {
        if (document.getVersion() <= adoption.current().version().number()) {
            return;
        }
        ConfigCodec.read(document.getDocument().toByteArray(), peer)
                .peek(c -> control.run(() -> configSync.take(c, peer)))
                .peekLeft(f -> Event.named("config-rejected").with("fault", f).warn());
    }

    /** Pushes the configuration on and lets the role act on it. */
    private void configAdopted() {
        Envelope push = DocumentMessages.of(configuration()).build();
        for (HostRecord r : neighbourhood.neighbours(role)) {
            client.sendOneWay(r.address(), TrafficClass.LIVE, push);
        }
        role.tick(clock.instant());
    }

    /**
     * Takes a host list.
     *
     * @param list hosts listed
     * @return false if it was ignored
     */
    private boolean takeList(List<HostRecord> list) {
        boolean first = members().isEmpty();
        boolean taken = neighbourhood.takeList(list);
        if (first && taken) {
            heartbeat();
        }
        return taken;
    }

    /** Sends a heartbeat to every neighbour and takes their replies. */
    private void heartbeat() {
        neighbourhood.exchange(describe(), neighbourhood.neighbours(role), this::observe);
    }

    /**
     * Takes a heartbeat, and asks for the configuration if the peer has a later one.
     *
     * @param heartbeat heartbeat of a peer
     */
    private void observe(Heartbeat heartbeat) {
        neighbourhood
                .observe(heartbeat)
                .filter(r -> r.configVersion().isAfter(adoption.current().version()))
                .flatMap(r -> member(r.host()))
                .ifPresent(m -> queryConfig(m.record()));
    }

    /**
     * Asks a peer for its configuration.
     *
     * @param peer peer with a later configuration
     */
    private void queryConfig(HostRecord peer) {
        Envelope.Builder query =
                Envelope.newBuilder().setConfigQuery(ConfigQuery.getDefaultInstance());
        String name = peer.host().value();
        client.request(peer.address(), TrafficClass.LIVE, query, QUERY_LIMIT)
                .thenAccept(answer -> answer.peek(e -> takeConfig(e.getConfigDocument(), name)));
    }
}
