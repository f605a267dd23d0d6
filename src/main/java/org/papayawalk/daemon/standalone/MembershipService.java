package org.papayawalk.daemon.standalone;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.member.Membership;
import org.papayawalk.core.member.NeighborSelector;
import org.papayawalk.core.member.PeerReport;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.log.Event;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Heartbeat;

/**
 * Keeps track of the known hosts and exchanges heartbeats with a bounded number of them. State
 * changes on the control thread only; {@link #members()} and {@link #member} may be called from any
 * thread.
 */
final class MembershipService {
    private static final Duration HEARTBEAT_REPLY_TIMEOUT = Duration.ofSeconds(2);

    private final HostRecord self;

    private final PeerClient client;

    private final ControlThread controlThread;

    private final InstantSource clock;

    // Confined to the control thread.
    private final Membership membership = new Membership();

    private final NeighborSelector neighborSelector = new NeighborSelector();

    // Immutable copy of the membership for other threads, replaced after each change.
    private volatile Map<HostId, Member> members = Map.of();

    /**
     * Creates a service with an empty membership.
     *
     * @param self host record of this daemon
     * @param client client for messages to other daemons
     * @param controlThread control thread
     * @param clock monotonic clock
     */
    MembershipService(
            HostRecord self, PeerClient client, ControlThread controlThread, InstantSource clock) {
        this.self = self;
        this.client = client;
        this.controlThread = controlThread;
        this.clock = clock;
    }

    /**
     * Returns a snapshot of the known hosts.
     *
     * @return immutable list in no particular order, empty until a host list was received
     */
    List<Member> members() {
        return List.copyOf(members.values());
    }

    /**
     * Looks up a known host.
     *
     * @param host name of the host
     * @return the host, or empty if it is unknown
     */
    Optional<Member> member(HostId host) {
        return Optional.ofNullable(members.get(host));
    }

    /**
     * Updates the known hosts from a host list.
     *
     * @param list listed hosts
     * @return false if the list was ignored because it is empty although hosts are known
     */
    boolean applyHostList(List<HostRecord> list) {
        boolean applied = membership.updateHostList(list, clock.instant());
        publishMembers();
        return applied;
    }

    /**
     * Records a heartbeat as the last report of its sender.
     *
     * @param heartbeat heartbeat of another daemon
     * @return the report, or empty if the heartbeat is malformed, of an earlier incarnation than
     *     known, or from an unknown host
     */
    Optional<PeerReport> recordHeartbeat(Heartbeat heartbeat) {
        try {
            PeerReport report = HeartbeatDecoder.decode(heartbeat, clock.instant());
            boolean recorded = membership.recordReport(report);
            publishMembers();
            return recorded ? Optional.of(report) : Optional.empty();
        } catch (IllegalArgumentException e) {
            Event.named("heartbeat-rejected").with("reason", e.getMessage()).warn();
            return Optional.empty();
        }
    }

    /**
     * Returns the hosts that this daemon exchanges heartbeats with.
     *
     * @param role role, which may add hosts to the regular neighbors
     * @return records of the neighbors, without this daemon
     */
    List<HostRecord> neighbors(RoleHandler role) {
        Map<HostId, HostRecord> records = new HashMap<>();
        members.values().forEach(m -> records.put(m.host(), m.record()));
        Set<HostId> chosen = new LinkedHashSet<>(neighborSelector.select(self, records.values()));
        chosen.addAll(role.additionalNeighbors(members()));
        chosen.remove(self.host());
        return chosen.stream().map(records::get).filter(r -> r != null).toList();
    }

    /**
     * Sends a heartbeat to every neighbor; each replies with its own. A neighbor that does not
     * reply within 2 s is recorded as failed.
     *
     * @param own heartbeat of this daemon
     * @param neighbors records of the neighbors
     * @param receiver handles the heartbeats of the neighbors, on the control thread
     */
    void exchangeHeartbeats(
            Heartbeat own, List<HostRecord> neighbors, Consumer<Heartbeat> receiver) {
        for (HostRecord n : neighbors) {
            Envelope.Builder message = Envelope.newBuilder().setHeartbeat(own);
            client.request(n.address(), TrafficClass.LIVE, message, HEARTBEAT_REPLY_TIMEOUT)
                    .thenAccept(
                            reply -> controlThread.execute(() -> handleReply(n, reply, receiver)));
        }
    }

    private void handleReply(
            HostRecord neighbor, Either<Fault, Envelope> reply, Consumer<Heartbeat> receiver) {
        if (reply.isRight()) {
            receiver.accept(reply.get().getHeartbeat());
            return;
        }
        membership.recordFailure(neighbor.host(), clock.instant());
        publishMembers();
    }

    private void publishMembers() {
        Map<HostId, Member> latest = new HashMap<>();
        membership.snapshot().forEach(m -> latest.put(m.host(), m));
        members = Map.copyOf(latest);
    }
}
