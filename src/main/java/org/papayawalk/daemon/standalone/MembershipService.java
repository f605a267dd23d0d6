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
 * Known hosts and the heartbeats exchanged with a bounded set of them. Changes on the control
 * thread only; {@link #members()} and {@link #member} are safe from any thread.
 */
final class MembershipService {
    /** Longest wait for the reply to a heartbeat. */
    private static final Duration REPLY_LIMIT = Duration.ofSeconds(2);

    /** The host's own line of the host list. */
    private final HostRecord self;

    /** Client for peers. */
    private final PeerClient client;

    /** Control thread. */
    private final ControlThread control;

    /** Clock. */
    private final InstantSource clock;

    /** Hosts; control thread only. */
    private final Membership membership = new Membership();

    /** Chooses whom to talk to. */
    private final NeighborSelector policy = new NeighborSelector();

    /** Hosts as last published. */
    private volatile Map<HostId, Member> members = Map.of();

    /**
     * Creates an empty neighbourhood.
     *
     * @param self the host's own line of the host list
     * @param client client for peers
     * @param control control thread
     * @param clock clock
     */
    MembershipService(
            HostRecord self, PeerClient client, ControlThread control, InstantSource clock) {
        this.self = self;
        this.client = client;
        this.control = control;
        this.clock = clock;
    }

    /**
     * Returns the known hosts.
     *
     * @return immutable list
     */
    List<Member> members() {
        return List.copyOf(members.values());
    }

    /**
     * Looks up a host.
     *
     * @param host name of the host
     * @return the host, or empty if it is not known
     */
    Optional<Member> member(HostId host) {
        return Optional.ofNullable(members.get(host));
    }

    /**
     * Takes a host list.
     *
     * @param list hosts listed
     * @return false if it was ignored
     */
    boolean takeList(List<HostRecord> list) {
        boolean taken = membership.replaceList(list, clock.instant());
        publish();
        return taken;
    }

    /**
     * Takes a heartbeat.
     *
     * @param heartbeat heartbeat of a peer
     * @return the report, or empty if it is malformed, old or from an unknown host
     */
    Optional<PeerReport> observe(Heartbeat heartbeat) {
        try {
            PeerReport report = HeartbeatDecoder.read(heartbeat, clock.instant());
            boolean taken = membership.observe(report);
            publish();
            return taken ? Optional.of(report) : Optional.empty();
        } catch (IllegalArgumentException e) {
            Event.named("heartbeat-rejected").with("reason", e.getMessage()).warn();
            return Optional.empty();
        }
    }

    /**
     * Returns the hosts that this daemon talks to.
     *
     * @param role role that may want more of them
     * @return their lines of the host list
     */
    List<HostRecord> neighbours(RoleHandler role) {
        Map<HostId, HostRecord> records = new HashMap<>();
        members.values().forEach(m -> records.put(m.host(), m.record()));
        Set<HostId> chosen = new LinkedHashSet<>(policy.neighbours(self, records.values()));
        chosen.addAll(role.extraNeighbours(members()));
        chosen.remove(self.host());
        return chosen.stream().map(records::get).filter(r -> r != null).toList();
    }

    /**
     * Sends a heartbeat to every neighbour.
     *
     * @param own heartbeat of this daemon
     * @param neighbours their lines of the host list
     * @param receiver takes their heartbeats on the control thread
     */
    void exchange(Heartbeat own, List<HostRecord> neighbours, Consumer<Heartbeat> receiver) {
        for (HostRecord r : neighbours) {
            Envelope.Builder message = Envelope.newBuilder().setHeartbeat(own);
            client.request(r.address(), TrafficClass.LIVE, message, REPLY_LIMIT)
                    .thenAccept(answer -> control.run(() -> answered(r, answer, receiver)));
        }
    }

    /**
     * Takes the reply to a heartbeat.
     *
     * @param record neighbour
     * @param answer its reply, or a fault
     * @param receiver takes the reply
     */
    private void answered(
            HostRecord record, Either<Fault, Envelope> answer, Consumer<Heartbeat> receiver) {
        if (answer.isRight()) {
            receiver.accept(answer.get().getHeartbeat());
            return;
        }
        membership.failed(record.host(), clock.instant());
        publish();
    }

    /** Publishes the hosts to other threads. */
    private void publish() {
        Map<HostId, Member> latest = new HashMap<>();
        membership.snapshot().forEach(m -> latest.put(m.host(), m));
        members = Map.copyOf(latest);
    }
}
