package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.core.upstream.EngineNotice;
import org.papayawalk.core.upstream.FeedRole;
import org.papayawalk.core.upstream.PollSchedule;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.wire.EventLoops;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.PeerServer;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.Envelope;

/**
 * Parts of a daemon that entries and agents share: control thread, event loop, platform state and
 * messages with other daemons. Public methods may be called from any thread.
 */
public final class ManagedNode {
    // Time without a reply from an entry after which an agent reads the store itself.
    private static final Duration ENTRY_TIMEOUT = Duration.ofMillis(1500);

    private static final Duration ENTRY_COUNT_INTERVAL = Duration.ofMillis(500);

    // Bound on the connections that an agent opens to entries for notices.
    private static final int MAX_NOTIFIED_ENTRIES = 16;

    private static final Duration CALL_LOG_INTERVAL = Duration.ofSeconds(10);

    private final ManagedSettings settings;

    private final MonotonicClock clock = new MonotonicClock();

    private final ControlThread thread = new ControlThread("control");

    private final EventLoops runtime = new EventLoops(1);

    private final AsyncHttpClient http = new AsyncHttpClient(runtime.group());

    private final PeerClient peers = new PeerClient(runtime);

    private final PlatformState state = new PlatformState(clock, thread);

    private final EntryDirectory directory;

    private final StoreCalls storeCalls = new StoreCalls();

    private final EntryRegistry registry;

    private final Map<String, TableWatcher> watchers = new HashMap<>();

    private final PollSchedule schedule;

    // Confined to the control thread.
    private final FeedRole role;

    private final List<PeerServer> servers = new ArrayList<>();

    // Last reply of an entry to this agent, initially the start; confined to the control thread.
    private Instant lastEntryReplyAt;

    // Control addresses of some entries, by the settings read last.
    private volatile List<String> seeds;

    private final LiveEntries liveEntries;

    /**
     * Creates a node that does not listen or send anything yet.
     *
     * @param settings settings of the process
     */
    public ManagedNode(ManagedSettings settings) {
        this.settings = settings;
        this.seeds = settings.seeds();
        directory = new EntryDirectory(settings.peerAddress());
        liveEntries = new LiveEntries(directory, settings.domain());
        registry = new EntryRegistry(settings, http, storeCalls, directory, thread, clock);
        lastEntryReplyAt = clock.instant();
        ManagedSettings.OperatorLimits limits = settings.limits();
        schedule = new PollSchedule(limits.maxStaleness(), limits.maxDelay());
        role = new FeedRole(settings.peerAddress(), schedule);
        for (String table : state.tableNames()) {
            watchers.put(
                    table,
                    new TableWatcher(
                            http,
                            settings.storeAddress(),
                            table,
                            thread,
                            receiver(table),
                            schedule,
                            new RoleFeed(role, clock),
                            clock));
        }
    }

    /**
     * Starts as an entry: watches the tables of the store, or gets them from a source in its region
     * and checks at the store, see {@link FeedRole}; exchanges state with other entries and answers
     * the state queries of agents. Returns once it listens.
     *
     * @param evidence what this entry observes, exchanged with the other entries
     * @param weights handles all messages except state queries
     * @throws IOException if an address cannot be used
     */
    public void runAsEntry(SharedEvidence evidence, MessageHandler weights) throws IOException {
        StateSyncServer server =
                new StateSyncServer(
                        state,
                        directory,
                        evidence,
                        settings.peerAddress(),
                        settings.domain(),
                        thread,
                        clock);
        MessageHandler handler = handler(server, weights);
        listen(settings.peerAddress(), handler);
        if (settings.controlAddress().isPresent()) {
            listen(settings.controlAddress().get(), handler);
        }
        StateSyncClient client = client(evidence);
        thread.execute(
                () -> {
                    watchers.values().forEach(TableWatcher::start);
                    client.runAsEntry();
                    follower(client).run();
                    registry.register();
                    registry.pollRows();
                });
        thread.scheduleRepeatedly(ENTRY_COUNT_INTERVAL, this::refreshLiveEntries);
        thread.scheduleRepeatedly(ENTRY_COUNT_INTERVAL, this::noteEras);
        thread.scheduleRepeatedly(CALL_LOG_INTERVAL, storeCalls::log);
    }

    /**
     * Starts as an agent: reads the store, polls one entry for state, and watches the store until
     * the first reply and whenever no entry replies. So agents need not wait for the entries after
     * a restart of all hosts. Returns once it listens.
     *
     * @param handler handles the messages of other daemons
     * @throws IOException if the address cannot be used
     */
    public void runAsAgent(MessageHandler handler) throws IOException {
        listen(settings.peerAddress(), handler);
        StateSyncClient client = client(SharedEvidence.none());
        thread.execute(
                () -> {
                    watchers.values().forEach(TableWatcher::start);
                    client.runAsAgent(this::recordEntryOutcome);
                });
        thread.scheduleRepeatedly(ENTRY_COUNT_INTERVAL, this::refreshLiveEntries);
        thread.scheduleRepeatedly(CALL_LOG_INTERVAL, storeCalls::log);
    }

    /**
     * Returns the settings that the process was started with.
     *
     * @return settings, fixed for the life of the process
     */
    public ManagedSettings settings() {
        return settings;
    }

    /**
     * Returns the counts of calls to the store.
     *
     * @return counts
     */
    public StoreCalls storeCalls() {
        return storeCalls;
    }

    /**
     * Returns the clock that all timeouts and ages refer to.
     *
     * @return monotonic clock
     */
    public InstantSource clock() {
        return clock;
    }

    /**
     * Returns the thread to which the platform state and all control decisions are confined.
     *
     * @return control thread
     */
    public ControlThread thread() {
        return thread;
    }

    /**
     * Returns the event loop of all connections.
     *
     * @return runtime with one event loop
     */
    public EventLoops runtime() {
        return runtime;
    }

    /**
     * Returns the client for short HTTP calls, such as to the store, the origin and the local
     * engine.
     *
     * @return client, safe from any thread
     */
    public AsyncHttpClient http() {
        return http;
    }

    /**
     * Returns the client for messages to other daemons.
     *
     * @return client, safe from any thread
     */
    public PeerClient peers() {
        return peers;
    }

    /**
     * Returns the state of the platform that this daemon follows.
     *
     * @return state, confined to the control thread except for its snapshot
     */
    public PlatformState state() {
        return state;
    }

    /**
     * Returns the other entries that this daemon knows of.
     *
     * @return entries, refreshed every 500 ms
     */
    public LiveEntries entries() {
        return liveEntries;
    }

    /**
     * Returns the addresses of the other entries that this daemon knows of.
     *
     * @return failure domain by address, refreshed every 500 ms
     */
    public Map<String, DomainId> liveEntries() {
        return liveEntries.byAddress();
    }

    /**
     * Returns the number of live entries, this daemon included. Meaningful on an entry only.
     *
     * @return at least 1
     */
    public int entryCount() {
        return liveEntries.byAddress().size() + 1;
    }

    /**
     * Sends a notice of the engine beside this agent to the live entries, those of this failure
     * domain first, up to a limit. A lost message is not repeated, as the engine's registration
     * carries the same state later.
     *
     * @param notice notice
     */
    public void notifyEntries(EngineNotice notice) {
        Envelope message = StateSyncMessages.engineNotice(notice);
        liveEntries.byAddress().entrySet().stream()
                .sorted(Comparator.comparing(e -> !e.getValue().equals(settings.domain())))
                .limit(MAX_NOTIFIED_ENTRIES)
                .forEach(e -> peers.sendOneWay(e.getKey(), TrafficClass.LIVE, message));
    }

    /**
     * Removes the row of this entry from the store. Blocks for 500 ms at most; a failure is only
     * logged.
     */
    public void deregister() {
        registry.deregister();
    }

    /**
     * Applies settings that were read again: the seeds take effect, everything else stays as it was
     * at the start.
     *
     * @param changed valid settings
     * @return names of the changed settings that take effect only with a restart
     */
    public List<String> applySettings(ManagedSettings changed) {
        seeds = changed.seeds();
        return settings.changedKeys(changed).stream().filter(k -> !k.equals("seeds")).toList();
    }

    private StateSyncClient client(SharedEvidence evidence) {
        return new StateSyncClient(
                state,
                directory,
                () -> seeds,
                evidence,
                peers,
                thread,
                clock,
                settings.peerAddress(),
                settings.domain(),
                settings::region,
                () -> watchers.values().stream().allMatch(TableWatcher::isInContact));
    }

    private SourceFollower follower(StateSyncClient client) {
        return new SourceFollower(state, role, schedule, client, watchers, thread, clock);
    }

    private void listen(String address, MessageHandler handler) throws IOException {
        servers.add(new PeerServer(runtime, Addresses.parse(address), handler));
    }

    private void recordEntryOutcome(boolean answered) {
        Instant now = clock.instant();
        if (answered) {
            lastEntryReplyAt = now;
            watchers.values().forEach(TableWatcher::stop);
        } else if (lastEntryReplyAt.plus(ENTRY_TIMEOUT).isBefore(now)) {
            watchers.values().forEach(TableWatcher::start);
        }
    }

    private void refreshLiveEntries() {
        liveEntries.refresh(clock.instant());
    }

    // A source may tell of a restored store before a call of this entry does.
    private void noteEras() {
        state.tableNames().forEach(t -> registry.eraSeen(state.table(t).version().era()));
    }

    private TableWatcher.Receiver receiver(String table) {
        return new StateTableReceiver(
                table,
                state,
                storeCalls,
                era -> {
                    registry.eraSeen(era);
                    watchers.values().forEach(w -> w.recordEra(era));
                });
    }

    private MessageHandler handler(StateSyncServer server, MessageHandler weights) {
        return new MessageHandler() {
            @Override
            public void onMessage(Envelope message, PeerServerConnection from) {
                if (message.hasViewQuery()) {
                    server.received(message, from);
                } else if (message.hasEngineNotice()) {
                    EngineNotice notice = StateSyncMessages.engineNotice(message);
                    thread.execute(() -> state.recordEngineNotice(notice));
                } else {
                    weights.onMessage(message, from);
                }
            }

            @Override
            public void onClose(PeerServerConnection from) {
                // The connection itself discards replies after it was closed.
            }
        };
    }
}
