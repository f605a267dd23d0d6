package org.papayawalk.daemon.managed;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.EntryAddress;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ViewQuery;
import org.papayawalk.wire.proto.ViewReply;

/**
 * Fetches table rows, addresses of entries and evidence from entries. An entry queries a few random
 * entries per round; an agent keeps one long poll open at one entry. Confined to the control
 * thread.
 */
final class StateSyncClient {
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(400);

    // Entries that an entry queries per round.
    private static final int FANOUT = 2;

    // Longest time for which an entry holds an agent's query while there are no newer rows.
    private static final Duration AGENT_POLL_WAIT = Duration.ofMillis(1000);

    // Time allowed for a reply beyond the wait that the query asks for.
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);

    // Pause of an agent after a reply, so that the next reply covers several changes.
    private static final Duration AGENT_COALESCE_PAUSE = Duration.ofMillis(20);

    // Pause of an agent after a failed query, or while no entry is known.
    private static final Duration AGENT_RETRY_PAUSE = Duration.ofMillis(200);

    private final PlatformState state;

    private final EntryDirectory entries;

    private final List<String> seeds;

    private final SharedEvidence evidence;

    private final PeerClient client;

    private final ControlThread thread;

    private final InstantSource clock;

    private final DomainId domain;

    private final String self;

    // Receives true after a query of an agent that was answered, false after one that failed.
    private Consumer<Boolean> outcomeListener = answered -> {};

    // Entry that an agent polls, null if it has to choose one.
    private String currentEntry;

    /**
     * Creates a client that sends nothing yet.
     *
     * @param state state of this daemon
     * @param entries entries known to this daemon
     * @param seeds control addresses of some entries, used while no entry is known
     * @param evidence what this daemon observes
     * @param client client for messages to other daemons
     * @param thread control thread
     * @param clock monotonic clock
     * @param self address of this daemon
     * @param domain failure domain of this daemon
     */
    StateSyncClient(
            PlatformState state,
            EntryDirectory entries,
            List<String> seeds,
            SharedEvidence evidence,
            PeerClient client,
            ControlThread thread,
            InstantSource clock,
            String self,
            DomainId domain) {
        this.state = state;
        this.entries = entries;
        this.seeds = seeds;
        this.evidence = evidence;
        this.client = client;
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.domain = domain;
    }

    /** Starts the query rounds of an entry. */
    void runAsEntry() {
        queryRandomEntries();
        thread.scheduleRepeatedly(ROUND_INTERVAL, this::queryRandomEntries);
    }

    /**
     * Starts the polling of an agent.
     *
     * @param listener receives the outcome of each query on the control thread, true for a reply
     */
    void runAsAgent(Consumer<Boolean> listener) {
        outcomeListener = listener;
        pollEntry();
    }

    private void queryRandomEntries() {
        List<String> targets = new ArrayList<>(entries.queryable(clock.instant()));
        if (targets.isEmpty()) {
            targets.addAll(seeds);
        }
        Collections.shuffle(targets, ThreadLocalRandom.current());
        for (String t : targets.subList(0, Math.min(FANOUT, targets.size()))) {
            ViewQuery.Builder query =
                    ViewQuery.newBuilder().setEntry(StateSyncMessages.entryAddress(self, domain));
            query.addAllLostRuns(StateSyncMessages.lostRuns(evidence.suspects(), clock.instant()));
            query.addAllLimits(StateSyncMessages.limits(evidence.limits(), clock.instant()));
            sendQuery(t, query, Duration.ZERO, r -> {});
        }
    }

    private void pollEntry() {
        if (currentEntry == null) {
            currentEntry = chooseEntry();
        }
        String target = currentEntry;
        if (target == null) {
            outcomeListener.accept(false);
            thread.schedule(AGENT_RETRY_PAUSE, this::pollEntry);
            return;
        }
        sendQuery(
                target,
                ViewQuery.newBuilder().setWaitMillis((int) AGENT_POLL_WAIT.toMillis()),
                AGENT_POLL_WAIT,
                answered -> {
                    outcomeListener.accept(answered);
                    boolean localAvailable =
                            answered && !entries.inDomain(target, domain) && localEntry() != null;
                    if (!answered || localAvailable) {
                        currentEntry = null;
                    }
                    thread.schedule(
                            answered ? AGENT_COALESCE_PAUSE : AGENT_RETRY_PAUSE, this::pollEntry);
                });
    }

    // Prefers the failure domain of this daemon; null if no entry is known.
    private String chooseEntry() {
        String local = localEntry();
        if (local != null) {
            return local;
        }
        Set<String> candidates = new HashSet<>(entries.queryable(clock.instant()));
        if (candidates.isEmpty()) {
            candidates.addAll(seeds);
        }
        return randomElement(new ArrayList<>(candidates));
    }

    // Returns an entry of the failure domain of this daemon, null if none is known.
    private String localEntry() {
        return randomElement(
                entries.queryable(clock.instant()).stream()
                        .filter(a -> entries.inDomain(a, domain))
                        .toList());
    }

    private static String randomElement(List<String> list) {
        return list.isEmpty() ? null : list.get(ThreadLocalRandom.current().nextInt(list.size()));
    }

    private void sendQuery(
            String target, ViewQuery.Builder query, Duration wait, Consumer<Boolean> done) {
        StateSyncMessages.addMarks(query, state);
        Envelope.Builder message = Envelope.newBuilder().setViewQuery(query);
        client.request(target, TrafficClass.LIVE, message, wait.plus(RESPONSE_TIMEOUT))
                .thenAccept(reply -> thread.execute(() -> done.accept(handleReply(target, reply))));
    }

    private boolean handleReply(String target, Either<Fault, Envelope> result) {
        Instant now = clock.instant();
        if (result.isLeft() || !result.get().hasViewReply()) {
            entries.recordFailure(target, now);
            client.closeConnection(target, TrafficClass.LIVE);
            return false;
        }
        ViewReply reply = result.get().getViewReply();
        // The first address is the sender; the others were in contact with the sender.
        for (int i = 0; i < reply.getEntriesCount(); i++) {
            EntryAddress e = reply.getEntries(i);
            if (i == 0) {
                entries.recordContact(e.getAddress(), new DomainId(e.getDomain()), now);
            } else {
                entries.recordMention(e.getAddress(), new DomainId(e.getDomain()), now);
            }
        }
        state.recordPeerStoreHealth(reply.getStoreWellMillis());
        StateSyncMessages.apply(reply.getLostRunsList(), evidence.suspects(), now);
        StateSyncMessages.apply(reply.getLimitsList(), evidence.limits(), now);
        StateSyncMessages.apply(reply, state, target);
        return true;
    }
}
