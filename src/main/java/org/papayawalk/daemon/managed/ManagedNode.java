package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.http.HttpClient;
import org.papayawalk.log.Event;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerChannel;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.PeerServer;
import org.papayawalk.wire.WireRuntime;
import org.papayawalk.wire.proto.Envelope;

/**
 * What an entry and an agent have in common: threads, the platform's state, and messages with other
 * daemons. Thread-safe.
 */
public final class ManagedNode {
    /** Time without an entry after which an agent follows the store itself. */
    private static final Duration ENTRY_SILENCE = Duration.ofMillis(1500);

    /** Pause between counts of the entries. */
    private static final Duration COUNT_INTERVAL = Duration.ofMillis(500);

    /** Longest wait for the store at the stop. */
    private static final Duration LEAVE_LIMIT = Duration.ofMillis(500);

    /** Settings of the process. */
    private final ManagedSettings settings;

    /** Clock that never jumps. */
    private final MonotonicClock clock = new MonotonicClock();

    /** Control thread. */
    private final ControlThread thread = new ControlThread("control");

    /** Event loop of all connections. */
    private final WireRuntime runtime = new WireRuntime(1);

    /** Client for short calls. */
    private final HttpClient http = new HttpClient(runtime.group());

    /** Client of other daemons. */
    private final PeerClient peers = new PeerClient(runtime);

    /** The platform's state. */
    private final PlatformState state = new PlatformState(clock, thread);

    /** Entries known. */
    private final EntryDirectory entries;

    /** Rows by which entries are found. */
    private final EntryRegistry registry;

    /** Feeds of the tables. */
    private final List<TableWatcher> feeds = new ArrayList<>();

    /** Servers of messages. */
    private final List<PeerServer> servers = new ArrayList<>();

    /** When an entry last answered this agent. */
    private Instant entryHeardAt;

    /** Failure domains of the entries heard lately, by address, without this daemon. */
    private volatile Map<String, DomainId> heard = Map.of();

    /**
     * Creates a node that does not run yet.
     *
     * @param settings settings of the process
     */
    public ManagedNode(ManagedSettings settings) {
        this.settings = settings;
        entries = new EntryDirectory(settings.peerAddress());
        registry = new EntryRegistry(settings, http, entries, thread, clock);
        entryHeardAt = clock.instant();
        for (String table : state.tableNames()) {
            feeds.add(
                    new TableWatcher(
                            http, settings.storeAddress(), table, thread, receiver(table)));
        }
    }

    /**
     * Starts as an entry: follows the store, tells other entries, and answers agents.
     *
     * @param suspects evidence against requests
     * @param weights takes messages about weights
     * @throws IOException if an address cannot be used
     */
    public void runAsEntry(SuspectRegistry suspects, MessageHandler weights) throws IOException {
        StateSyncServer server =
                new StateSyncServer(
                        state,
                        entries,
                        suspects,
                        settings.peerAddress(),
                        settings.domain(),
                        thread,
                        clock);
        MessageHandler handler = handler(server, weights);
        listen(settings.peerAddress(), handler);
        if (settings.controlAddress().isPresent()) {
            listen(settings.controlAddress().get(), handler);
        }
        StateSyncClient client = client(suspects);
        thread.run(
                () -> {
                    feeds.forEach(TableWatcher::start);
                    client.runAsEntry();
                    registry.register();
                    registry.follow();
                });
        thread.every(COUNT_INTERVAL, this::countEntries);
    }

    /**
     * Starts as an agent: follows an entry, and the store while no entry answers.
     *
     * @param handler takes messages of other agents
     * @throws IOException if the address cannot be used
     */
    public void runAsAgent(MessageHandler handler) throws IOException {
        listen(settings.peerAddress(), handler);
        StateSyncClient client = client(new SuspectRegistry(1, Duration.ofSeconds(1)));
        thread.run(() -> client.runAsAgent(this::entryAnswered));
        thread.every(COUNT_INTERVAL, this::countEntries);
    }

    /**
     * Returns the settings.
     *
     * @return settings of the process
     */
    public ManagedSettings settings() {
        return settings;
    }

    /**
     * Returns the clock.
     *
     * @return clock that never jumps
     */
    public InstantSource clock() {
        return clock;
    }

    /**
     * Returns the control thread.
     *
     * @return control thread
     */
    public ControlThread thread() {
        return thread;
    }

    /**
     * Returns the event loop of all connections.
     *
     * @return runtime
     */
    public WireRuntime runtime() {
        return runtime;
    }

    /**
     * Returns the client for short calls.
     *
     * @return client
     */
    public HttpClient http() {
        return http;
    }

    /**
     * Returns the client of other daemons.
     *
     * @return client
     */
    public PeerClient peers() {
        return peers;
    }

    /**
     * Returns the platform's state.
     *
     * @return state
     */
    public PlatformState state() {
        return state;
    }

    /**
     * Returns the number of entries that run, as an entry sees it.
     *
     * @return at least 1
     */
    public int entryCount() {
        return heard.size() + 1;
    }

    /**
     * Returns the other entries that were heard or told of lately.
     *
     * @return failure domain by address
     */
    public Map<String, DomainId> entries() {
        return heard;
    }

    /** Removes the row of this entry from the store. Waits for a short time. */
    public void deregister() {
        try {
            registry.deregister().get(LEAVE_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            Event.named("entry-row-left").with("reason", e).info();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Creates the client of entries.
     *
     * @param suspects evidence against requests
     * @return client
     */
    private StateSyncClient client(SuspectRegistry suspects) {
        return new StateSyncClient(
                state,
                entries,
                settings.seeds(),
                suspects,
                peers,
                thread,
                clock,
                settings.peerAddress(),
                settings.domain());
    }

    /**
     * Listens for messages.
     *
     * @param address IP number and port
     * @param handler takes the messages
     * @throws IOException if the address cannot be used
     */
    private void listen(String address, MessageHandler handler) throws IOException {
        servers.add(new PeerServer(runtime, Addresses.parse(address), handler));
    }

    /**
     * Records whether an entry answered this agent.
     *
     * @param answered true if one did
     */
    private void entryAnswered(boolean answered) {
        Instant now = clock.instant();
        if (answered) {
            entryHeardAt = now;
            feeds.forEach(TableWatcher::stop);
        } else if (entryHeardAt.plus(ENTRY_SILENCE).isBefore(now)) {
            feeds.forEach(TableWatcher::start);
        }
    }

    /** Counts the entries heard lately. */
    private void countEntries() {
        heard = Map.copyOf(entries.alive(clock.instant()));
    }

    /**
     * Creates the receiver of a feed.
     *
     * @param table name of the table
     * @return receiver
     */
    private TableWatcher.Receiver receiver(String table) {
        return new TableWatcher.Receiver() {
            @Override
            public long version() {
                return state.table(table).version();
            }

            @Override
            public void read(TableUpdate batch, long after) {
                state.read(table, batch, after, "store");
            }

            @Override
            public void away() {
                state.storeAway();
            }
        };
    }

    /**
     * Creates the handler of an entry's messages.
     *
     * @param server answers queries
     * @param weights takes messages about weights
     * @return handler
     */
    private static MessageHandler handler(StateSyncServer server, MessageHandler weights) {
        return new MessageHandler() {
            @Override
            public void received(Envelope message, PeerChannel from) {
                if (message.hasViewQuery()) {
                    server.received(message, from);
                } else {
                    weights.received(message, from);
                }
            }

            @Override
            public void closed(PeerChannel from) {
                // Answers to a closed connection are dropped by the connection itself.
            }
        };
    }
}
