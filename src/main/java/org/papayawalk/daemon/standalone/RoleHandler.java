package org.papayawalk.daemon.standalone;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.Member;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Heartbeat;

/** What a role adds to a node. */
public interface RoleHandler {

    /**
     * Adds what the role knows to the daemon's heartbeat. Called on any thread.
     *
     * @param heartbeat heartbeat under construction
     */
    void describe(Heartbeat.Builder heartbeat);

    /**
     * Returns hosts that the role wants to hear from besides the usual neighbours. Called on the
     * control thread.
     *
     * @param members all known hosts
     * @return hosts, a bounded number
     */
    Collection<HostId> extraNeighbours(List<Member> members);

    /**
     * Takes a message that the node does not handle itself. Called on event loops.
     *
     * @param message message received
     * @param from connection to answer on
     */
    void received(Envelope message, PeerServerConnection from);

    /**
     * Learns that a connection was closed. Called on event loops.
     *
     * @param from the connection
     */
    void closed(PeerServerConnection from);

    /**
     * Advances the role's state. Called on the control thread several times a second and after each
     * change of the configuration.
     *
     * @param now present time
     */
    void tick(Instant now);

    /**
     * Takes no new work from now on. Called on any thread, possibly more than once.
     *
     * @param reason why, for the log
     */
    void drain(String reason);

    /**
     * Returns remarks for the status, such as what keeps the host behind. Called on any thread.
     *
     * @return texts for people
     */
    List<String> notes();
}
