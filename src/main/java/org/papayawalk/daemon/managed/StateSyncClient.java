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
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.wire.Lane;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.proto.EntryAddress;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ViewQuery;
import org.papayawalk.wire.proto.ViewReply;

/**
 * Asks entries for what is newer than this daemon knows. An entry asks a few others in turn at a
 * steady pace; an agent keeps one query open at one entry. Confined to the control thread.
 */
final class StateSyncClient {
    /** Pause between the rounds of an entry. */
    private static final Duration ROUND = Duration.ofMillis(400);

    /** Entries that an entry asks in one round. */
    private static final int FANOUT = 2;

    /** Longest time that an agent's query waits for news. */
    private static final Duration AGENT_WAIT = Duration.ofMillis(1000);

    /** Longest time for an answer besides the wait. */
    private static final Duration ANSWER_LIMIT = Duration.ofMillis(700);

    /** Pause of an agent after an answer, in which further changes gather. */
    private static final Duration AGENT_GATHER = Duration.ofMillis(20);

    /** Pause of an agent that found no entry. */
    private static final Duration AGENT_PAUSE = Duration.ofMillis(200);

    /** State of this daemon. */
    private final PlatformState state;

    /** Entries known. */
    private final EntryDirectory entries;

    /** Control addresses of some entries. */
    private final List<String> seeds;

    /** Evidence against requests. */
    private final SuspectRegistry suspects;

    /** Client of other daemons. */
    private final PeerClient client;

    /** Control thread. */
    private final ControlThread thread;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Failure domain of this daemon. */
    private final DomainId domain;

    /** Address of this daemon. */
    private final String self;

    /** Told of the outcome of each query of an agent, true for an answer. */
    private Consumer<Boolean> outcome = answered -> {};

    /** Entry that an agent asks, null if it has to choose one. */
    private String chosen;

    /**
     * Creates a client.
     *
     * @param state state of this daemon
     * @param entries entries known
     * @param seeds control addresses of some entries
     * @param suspects evidence against requests
     * @param client client of other daemons
     * @param thread control thread
     * @param clock clock that never jumps
     * @param self address of this daemon
     * @param domain failure domain of this daemon
     */
    StateSyncClient(
            PlatformState state,
            EntryDirectory entries,
            List<String> seeds,
            SuspectRegistry suspects,
            PeerClient client,
            ControlThread thread,
            InstantSource clock,
            String self,
            DomainId domain) {
        this.state = state;
        this.entries = entries;
        this.seeds = seeds;
        this.suspects = suspects;
        this.client = client;
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.domain = domain;
    }

    /** Starts the rounds of an entry. */
    void runAsEntry() {
        round();
        thread.every(ROUND, this::round);
    }

    /**
     * Starts the queries of an agent.
     *
     * @param told told of the outcome of each query, true for an answer
     */
    void runAsAgent(Consumer<Boolean> told) {
        outcome = told;
        follow();
    }

    /** Asks a few entries. */
    private void round() {
        List<String> targets = new ArrayList<>(entries.askable(clock.instant()));
        if (targets.isEmpty()) {
            targets.addAll(seeds);
        }
        Collections.shuffle(targets, ThreadLocalRandom.current());
        for (String t : targets.subList(0, Math.min(FANOUT, targets.size()))) {
            ViewQuery.Builder query =
                    ViewQuery.newBuilder().setEntry(StateSyncMessages.entry(self, domain));
            query.addAllLostRuns(StateSyncMessages.lostRuns(suspects, clock.instant()));
            ask(t, query, Duration.ZERO, r -> {});
        }
    }

    /** Sends the next query of an agent. */
    private void follow() {
        if (chosen == null) {
            chosen = choose();
        }
        String target = chosen;
        if (target == null) {
            outcome.accept(false);
            thread.later(AGENT_PAUSE, this::follow);
            return;
        }
        ask(
                target,
                ViewQuery.newBuilder().setWaitMillis((int) AGENT_WAIT.toMillis()),
                AGENT_WAIT,
                answered -> {
                    outcome.accept(answered);
                    boolean better =
                            answered && !entries.inDomain(target, domain) && localEntry() != null;
                    if (!answered || better) {
                        chosen = null;
                    }
                    thread.later(answered ? AGENT_GATHER : AGENT_PAUSE, this::follow);
                });
    }

    /**
     * Chooses the entry that an agent asks, one of its own failure domain first.
     *
     * @return address, null if none is known
     */
    private String choose() {
        String local = localEntry();
        if (local != null) {
            return local;
        }
        Set<String> all = new HashSet<>(entries.askable(clock.instant()));
        if (all.isEmpty()) {
            all.addAll(seeds);
        }
        return any(new ArrayList<>(all));
    }

    /**
     * Returns an entry of the own failure domain.
     *
     * @return address, null if none is known
     */
    private String localEntry() {
        return any(
                entries.askable(clock.instant()).stream()
                        .filter(a -> entries.inDomain(a, domain))
                        .toList());
    }

    /**
     * Draws an element.
     *
     * @param list list
     * @return element, null if the list is empty
     */
    private static String any(List<String> list) {
        return list.isEmpty() ? null : list.get(ThreadLocalRandom.current().nextInt(list.size()));
    }

    /**
     * Sends a query and takes its reply.
     *
     * @param target address of an entry
     * @param query query without its marks
     * @param wait longest time that the entry may hold the query
     * @param done told whether the entry answered
     */
    private void ask(
            String target, ViewQuery.Builder query, Duration wait, Consumer<Boolean> done) {
        StateSyncMessages.marks(query, state);
        Envelope.Builder message = Envelope.newBuilder().setViewQuery(query);
        client.request(target, Lane.LIVE, message, wait.plus(ANSWER_LIMIT))
                .thenAccept(reply -> thread.run(() -> done.accept(take(target, reply))));
    }

    /**
     * Takes a reply.
     *
     * @param target address that was asked
     * @param result reply or fault
     * @return true if there was a reply
     */
    private boolean take(String target, Either<Fault, Envelope> result) {
        Instant now = clock.instant();
        if (result.isLeft() || !result.get().hasViewReply()) {
            entries.failed(target, now);
            client.drop(target, Lane.LIVE);
            return false;
        }
        ViewReply reply = result.get().getViewReply();
        for (int i = 0; i < reply.getEntriesCount(); i++) {
            EntryAddress e = reply.getEntries(i);
            if (i == 0) {
                entries.heard(e.getAddress(), new DomainId(e.getDomain()), now);
            } else {
                entries.mentioned(e.getAddress(), new DomainId(e.getDomain()), now);
            }
        }
        state.storeWellElsewhere(reply.getStoreWellMillis());
        StateSyncMessages.apply(reply.getLostRunsList(), suspects, now);
        StateSyncMessages.apply(reply, state, target);
        return true;
    }
}
