package org.papayawalk.daemon.managed;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.upstream.QueryRound;
import org.papayawalk.core.upstream.QueryRound.Query;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ViewQuery;
import org.papayawalk.wire.proto.ViewReply;

/**
 * Fetches table rows, addresses of entries and evidence from entries. An entry queries a few
 * entries per round, see {@link QueryRound}; an agent keeps one long poll open at one entry.
 * Confined to the control thread.
 */
final class StateSyncClient {
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(400);

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

    private final Supplier<List<String>> seeds;

    private final SharedEvidence evidence;

    private final PeerClient client;

    private final ControlThread thread;

    private final InstantSource clock;

    private final DomainId domain;

    private final String self;

    private final Function<DomainId, RegionId> regions;

    // Whether the store answers this entry.
    private final BooleanSupplier storeContact;

    // Number of the present round of an entry.
    private int round;

    // Receives true after a query of an agent that was answered, false after one that failed.
    private Consumer<Boolean> outcomeListener = answered -> {};

    // Seed that was chosen last; at first a random one.
    private int seedIndex;

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
     * @param regions region of each failure domain
     * @param storeContact whether the store answers this daemon; asked on the control thread
     */
    StateSyncClient(
            PlatformState state,
            EntryDirectory entries,
            Supplier<List<String>> seeds,
            SharedEvidence evidence,
            PeerClient client,
            ControlThread thread,
            InstantSource clock,
            String self,
            DomainId domain,
            Function<DomainId, RegionId> regions,
            BooleanSupplier storeContact) {
        this.state = state;
        this.entries = entries;
        this.seeds = seeds;
        this.evidence = evidence;
        this.client = client;
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.domain = domain;
        this.regions = regions;
        this.storeContact = storeContact;
        this.seedIndex = ThreadLocalRandom.current().nextInt(Math.max(1, seeds.get().size()));
    }

    /** Starts the query rounds of an entry. */
    void runAsEntry() {
        queryEntries();
        thread.scheduleRepeatedly(ROUND_INTERVAL, this::queryEntries);
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

    private void queryEntries() {
        round++;
        for (Query q : queriesOfRound()) {
            ViewQuery.Builder query =
                    ViewQuery.newBuilder().setEntry(StateSyncMessages.entryAddress(self, domain));
            query.addAllLostRuns(StateSyncMessages.lostRuns(evidence.suspects(), clock.instant()));
            query.addAllLimits(StateSyncMessages.limits(evidence.limits(), clock.instant()));
            query.addAllPromptParts(
                    PromptPartMessages.encode(evidence.promptParts(), clock.instant()));
            if (q.rows()) {
                StateSyncMessages.addMarks(query, state);
            }
            sendQuery(q.target(), query, RESPONSE_TIMEOUT, r -> {});
        }
    }

    // The seeds are queried while no entry is known.
    private List<Query> queriesOfRound() {
        Map<Boolean, List<String>> targets =
                entries.queryable(clock.instant()).stream()
                        .collect(Collectors.partitioningBy(this::inOwnRegion));
        List<String> own = targets.get(true);
        List<String> others = targets.get(false);
        if (own.isEmpty() && others.isEmpty()) {
            others = seeds.get();
        }
        boolean inContact = storeContact.getAsBoolean();
        return QueryRound.choose(own, others, round, inContact, ThreadLocalRandom.current());
    }

    /**
     * Returns the other live entries of the own region that may be queried.
     *
     * @return addresses
     */
    List<String> regionEntries() {
        Set<String> alive = entries.alive(clock.instant()).keySet();
        return entries.queryable(clock.instant()).stream()
                .filter(alive::contains)
                .filter(this::inOwnRegion)
                .toList();
    }

    /**
     * Queries an entry for newer rows of all tables.
     *
     * @param target address of the entry
     * @param wait time for which it may hold the query while there are none
     * @param timeout time from now for the answer
     * @param done receives on the control thread whether there was an answer, after its rows were
     *     applied
     */
    void queryRows(String target, Duration wait, Duration timeout, Consumer<Boolean> done) {
        ViewQuery.Builder query = ViewQuery.newBuilder().setWaitMillis((int) wait.toMillis());
        StateSyncMessages.addMarks(query, state);
        sendQuery(target, query, timeout, done);
    }

    private boolean inOwnRegion(String address) {
        return entries.domain(address)
                .map(d -> regions.apply(d).equals(regions.apply(domain)))
                .orElse(false);
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
        ViewQuery.Builder query =
                ViewQuery.newBuilder().setWaitMillis((int) AGENT_POLL_WAIT.toMillis());
        StateSyncMessages.addMarks(query, state);
        sendQuery(
                target,
                query,
                AGENT_POLL_WAIT.plus(RESPONSE_TIMEOUT),
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
        List<String> candidates = List.copyOf(entries.queryable(clock.instant()));
        return candidates.isEmpty() ? nextSeed() : randomElement(candidates);
    }

    // Returns the seeds in turn, so that seeds that do not reply hide no other; null if there is
    // none.
    private String nextSeed() {
        List<String> present = seeds.get();
        if (present.isEmpty()) {
            return null;
        }
        seedIndex = (seedIndex + 1) % present.size();
        return present.get(seedIndex);
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
            String target, ViewQuery.Builder query, Duration timeout, Consumer<Boolean> done) {
        Envelope.Builder message = Envelope.newBuilder().setViewQuery(query);
        Instant sentAt = clock.instant();
        client.request(target, TrafficClass.LIVE, message, timeout)
                .thenAccept(reply -> thread.execute(() -> applyReply(target, reply, sentAt, done)));
    }

    // Reports the outcome also if the reply cannot be applied, since the next query follows it.
    private void applyReply(
            String target, Either<Fault, Envelope> reply, Instant sentAt, Consumer<Boolean> done) {
        boolean answered = false;
        try {
            answered = handleReply(target, reply, sentAt);
        } finally {
            done.accept(answered);
        }
    }

    private boolean handleReply(String target, Either<Fault, Envelope> result, Instant sentAt) {
        Instant now = clock.instant();
        if (result.isLeft() || !result.get().hasViewReply()) {
            entries.recordFailure(target, now);
            client.closeConnection(target, TrafficClass.LIVE);
            return false;
        }
        ViewReply reply = result.get().getViewReply();
        // The first address is the sender; the others were in contact with the sender.
        for (int i = 0; i < reply.getEntriesCount(); i++) {
            Optional<ListedEntry> e = StateSyncMessages.listedEntry(reply.getEntries(i));
            if (i == 0) {
                e.ifPresent(x -> entries.recordContact(x.address(), x.domain(), now));
            } else {
                e.ifPresent(x -> entries.recordMention(x.address(), x.domain(), now));
            }
        }
        // Earliest time at which the reply may have been sent.
        Instant toldAt = sentAt.plusMillis(Integer.toUnsignedLong(reply.getHeldMillis()));
        state.storeHealth().recordPeerHealth(reply.getStoreWellMillis());
        if (reply.hasStoreFailedMillisAgo() && reply.getChangesCount() > 0) {
            long failedAgo = Integer.toUnsignedLong(reply.getStoreFailedMillisAgo());
            state.storeHealth().recordPeerFailure(toldAt.minusMillis(failedAgo));
        }
        StateSyncMessages.apply(reply.getLostRunsList(), evidence.suspects(), now);
        StateSyncMessages.apply(reply.getLimitsList(), evidence.limits(), now);
        PromptPartMessages.apply(reply.getPromptPartsList(), evidence.promptParts(), now);
        StateSyncMessages.apply(reply, state, target);
        StateSyncMessages.applyProofs(reply.getProofsList(), state, toldAt);
        StateSyncMessages.apply(reply.getRequestedWeightsList(), state, toldAt);
        return true;
    }
}
