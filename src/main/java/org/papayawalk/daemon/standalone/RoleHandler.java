package org.papayawalk.daemon.standalone;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.Member;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Heartbeat;

/** Behavior of a {@link Node} that is particular to its role, entry or agent. */
public interface RoleHandler {

    /**
     * Adds the fields of the role to a heartbeat of this daemon. Called on any thread.
     *
     * @param heartbeat heartbeat under construction
     */
    void addToHeartbeat(Heartbeat.Builder heartbeat);

    /**
     * Returns hosts that this daemon exchanges heartbeats with in addition to its regular
     * neighbors. Called on the control thread.
     *
     * @param members all known hosts
     * @return a bounded number of hosts; unknown hosts and this host are ignored
     */
    Collection<HostId> additionalNeighbors(List<Member> members);

    /**
     * Handles a message that the node does not handle itself. Called on event loop threads, so it
     * must not block.
     *
     * @param message message received
     * @param from connection on which to reply
     */
    void received(Envelope message, PeerServerConnection from);

    /**
     * Handles the end of a connection that a peer opened. Called on event loop threads, so it must
     * not block.
     *
     * @param from closed connection
     */
    void closed(PeerServerConnection from);

    /**
     * Advances the role's state. Called on the control thread about every 100 ms, and after a new
     * configuration is put in force.
     *
     * @param now present time
     */
    void tick(Instant now);

    /**
     * Stops accepting new requests. Idempotent; called on any thread.
     *
     * @param reason reason for the drain, for the log
     */
    void drain(String reason);

    /**
     * Returns remarks for the operators' status report, such as the reason why a rollout step is
     * delayed on this host. Called on any thread.
     *
     * @return human-readable remarks, empty if there is nothing to report
     */
    List<String> statusNotes();
}
