package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ViewQuery;
import org.papayawalk.wire.proto.ViewReply;

/**
 * Answers the state queries of other daemons. A query may wait here until there are newer rows
 * (long poll). {@link #received} may be called from any thread; the rest is confined to the control
 * thread.
 */
final class StateSyncServer {
    // Bound on pending queries; further ones are answered at once.
    private static final int MAX_PENDING = 2048;

    private final PlatformState state;

    private final EntryDirectory entries;

    private final SharedEvidence evidence;

    private final String self;

    private final DomainId domain;

    private final ControlThread thread;

    private final InstantSource clock;

    private final List<PendingQuery> pending = new ArrayList<>();

    /**
     * Creates a server and registers it as a listener of the state.
     *
     * @param state state of this daemon
     * @param entries entries known to this daemon
     * @param evidence what this daemon observes
     * @param self address of this daemon
     * @param domain failure domain of this daemon
     * @param thread control thread
     * @param clock monotonic clock
     */
    StateSyncServer(
            PlatformState state,
            EntryDirectory entries,
            SharedEvidence evidence,
            String self,
            DomainId domain,
            ControlThread thread,
            InstantSource clock) {
        this.state = state;
        this.entries = entries;
        this.evidence = evidence;
        this.self = self;
        this.domain = domain;
        this.thread = thread;
        this.clock = clock;
        state.addListener(v -> answerPending());
    }

    /**
     * Handles a state query on the control thread.
     *
     * @param message message with a query
     * @param from connection to answer on
     */
    void received(Envelope message, PeerServerConnection from) {
        thread.execute(() -> handleQuery(message, from));
    }

    private void handleQuery(Envelope message, PeerServerConnection from) {
        ViewQuery query = message.getViewQuery();
        Instant now = clock.instant();
        if (query.hasEntry()) {
            StateSyncMessages.listedEntry(query.getEntry())
                    .ifPresent(e -> entries.recordContact(e.address(), e.domain(), now));
        }
        StateSyncMessages.apply(query.getLostRunsList(), evidence.suspects(), now);
        StateSyncMessages.apply(query.getLimitsList(), evidence.limits(), now);
        PromptPartMessages.apply(query.getPromptPartsList(), evidence.promptParts(), now);
        PendingQuery p = new PendingQuery(message.getCall(), query, from, now);
        boolean atOnce = query.getWaitMillis() == 0 || pending.size() >= MAX_PENDING;
        if (answer(p, atOnce)) {
            return;
        }
        pending.add(p);
        thread.schedule(Duration.ofMillis(query.getWaitMillis()), () -> answerExpired(p));
    }

    private void answerPending() {
        pending.removeIf(p -> answer(p, false));
    }

    // Answers a query whose wait is over, unless it was answered before.
    private void answerExpired(PendingQuery query) {
        if (pending.remove(query)) {
            answer(query, true);
        }
    }

    // Returns false, without an answer, if there are no newer rows and evenEmpty is not set.
    private boolean answer(PendingQuery pendingQuery, boolean evenEmpty) {
        Instant now = clock.instant();
        ViewReply.Builder reply = ViewReply.newBuilder();
        if (!StateSyncMessages.addChanges(reply, pendingQuery.query, state) && !evenEmpty) {
            return false;
        }
        reply.addEntries(StateSyncMessages.entryAddress(self, domain));
        for (Map.Entry<String, DomainId> e : entries.recentlyInContact(now).entrySet()) {
            reply.addEntries(StateSyncMessages.entryAddress(e.getKey(), e.getValue()));
        }
        reply.addAllProofs(StateSyncMessages.proofs(pendingQuery.query, state, now));
        reply.setHeldMillis((int) Duration.between(pendingQuery.receivedAt, now).toMillis());
        reply.setStoreWellMillis(state.storeHealth().wellMillis());
        state.storeHealth().millisSinceFailure().ifPresent(reply::setStoreFailedMillisAgo);
        reply.addAllRequestedWeights(StateSyncMessages.requestedWeights(state.snapshot(), now));
        if (pendingQuery.query.hasEntry()) {
            reply.addAllLostRuns(StateSyncMessages.lostRuns(evidence.suspects(), now));
            reply.addAllLimits(StateSyncMessages.limits(evidence.limits(), now));
            reply.addAllPromptParts(PromptPartMessages.encode(evidence.promptParts(), now));
        }
        pendingQuery.from.send(
                Envelope.newBuilder().setCall(pendingQuery.call).setViewReply(reply).build());
        return true;
    }

    // Query that waits for newer rows. The call number is returned in the reply.
    private record PendingQuery(
            long call, ViewQuery query, PeerServerConnection from, Instant receivedAt) {}
}
