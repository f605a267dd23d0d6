package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.wire.PeerChannel;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ViewQuery;
import org.papayawalk.wire.proto.ViewReply;

/**
 * Answers other daemons that ask for what is newer than they know. A query may wait here until
 * there is something. {@link #received} may be called from any thread; the rest is confined to the
 * control thread.
 */
final class StateSyncServer {
    /** Queries that wait at once at the most; further ones are answered at once. */
    private static final int MAX_WAITING = 2048;

    /** State of this daemon. */
    private final PlatformState state;

    /** Entries known. */
    private final EntryDirectory entries;

    /** Evidence against requests. */
    private final SuspectRegistry suspects;

    /** Address of this daemon. */
    private final String self;

    /** Failure domain of this daemon. */
    private final DomainId domain;

    /** Control thread. */
    private final ControlThread thread;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Queries that wait for news. */
    private final List<PendingQuery> waiting = new ArrayList<>();

    /**
     * Creates a server.
     *
     * @param state state of this daemon
     * @param entries entries known
     * @param suspects evidence against requests
     * @param self address of this daemon
     * @param domain failure domain of this daemon
     * @param thread control thread
     * @param clock clock that never jumps
     */
    StateSyncServer(
            PlatformState state,
            EntryDirectory entries,
            SuspectRegistry suspects,
            String self,
            DomainId domain,
            ControlThread thread,
            InstantSource clock) {
        this.state = state;
        this.entries = entries;
        this.suspects = suspects;
        this.self = self;
        this.domain = domain;
        this.thread = thread;
        this.clock = clock;
        state.listen(v -> answerWaiting());
    }

    /**
     * Takes a query.
     *
     * @param message message with a query
     * @param from connection to answer on
     */
    void received(Envelope message, PeerChannel from) {
        thread.run(() -> take(message, from));
    }

    /**
     * Answers a query or lets it wait.
     *
     * @param message message with a query
     * @param from connection to answer on
     */
    private void take(Envelope message, PeerChannel from) {
        ViewQuery query = message.getViewQuery();
        Instant now = clock.instant();
        if (query.hasEntry()) {
            DomainId asker = new DomainId(query.getEntry().getDomain());
            entries.heard(query.getEntry().getAddress(), asker, now);
        }
        StateSyncMessages.apply(query.getLostRunsList(), suspects, now);
        PendingQuery w = new PendingQuery(message.getCall(), query, from);
        boolean atOnce = query.getWaitMillis() == 0 || waiting.size() >= MAX_WAITING;
        if (answer(w, atOnce)) {
            return;
        }
        waiting.add(w);
        thread.later(Duration.ofMillis(query.getWaitMillis()), () -> expire(w));
    }

    /** Answers the queries for which there is news. */
    private void answerWaiting() {
        waiting.removeIf(w -> answer(w, false));
    }

    /**
     * Answers a query whose wait is over.
     *
     * @param query query that waits, or was answered meanwhile
     */
    private void expire(PendingQuery query) {
        if (waiting.remove(query)) {
            answer(query, true);
        }
    }

    /**
     * Answers a query.
     *
     * @param waiting query
     * @param evenEmpty whether to answer without news
     * @return true if it was answered
     */
    private boolean answer(PendingQuery waiting, boolean evenEmpty) {
        Instant now = clock.instant();
        ViewReply.Builder reply = ViewReply.newBuilder();
        if (!StateSyncMessages.changes(reply, waiting.query, state) && !evenEmpty) {
            return false;
        }
        reply.addEntries(StateSyncMessages.entry(self, domain));
        for (Map.Entry<String, DomainId> e : entries.heard(now).entrySet()) {
            reply.addEntries(StateSyncMessages.entry(e.getKey(), e.getValue()));
        }
        reply.setStoreWellMillis(state.storeWellMillis());
        if (waiting.query.hasEntry()) {
            reply.addAllLostRuns(StateSyncMessages.lostRuns(suspects, now));
        }
        waiting.from.send(Envelope.newBuilder().setCall(waiting.call).setViewReply(reply).build());
        return true;
    }

    /**
     * Query that waits for news. Equal by identity of the connection and call number.
     *
     * @param call number of the call
     * @param query query
     * @param from connection to answer on
     */
    private record PendingQuery(long call, ViewQuery query, PeerChannel from) {}
}
