package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.log.Event;

/**
 * Site of a single entry with the callers' limits of the users' sites. Requests to /pay/ are
 * answered, those to /order/ are not. Confined to one thread.
 */
final class CrowdSite implements AutoCloseable {
    /** Heap of the entry. */
    static final int HEAP_MEGABYTES = 28;

    private final FakeStore store = new FakeStore();

    private final FakeUpstream upstream = new FakeUpstream(Mode.WHOLE);

    private final FakeUpstream mute = new FakeUpstream(Mode.MUTE);

    /**
     * Starts the store and the servers.
     *
     * @throws IOException if a port cannot be bound
     */
    CrowdSite() throws IOException {
        String desired = ManagedEntryFixture.desired(1, "key-1");
        store.put(
                "op",
                "config",
                desired.replace(":4096", ":4194304")
                        .replace(":2048", ":16384")
                        .replace("\"headerTimeoutMs\":400", "\"headerTimeoutMs\":600000")
                        .replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":600000")
                        .replace(
                                "\"timeoutMs\":10000,\"targetLatencyMs\":500,\"priority\":2,"
                                        + "\"service\":\"desk\"",
                                "\"timeoutMs\":60000,\"targetLatencyMs\":50000,\"priority\":2,"
                                        + "\"service\":\"mute\"")
                        .replace(
                                "\"services\":[",
                                "\"services\":[{\"name\":\"mute\",\"maxConnections\":150},"));
        store.put("servers", "i-1", ManagedEntryFixture.entry(upstream, "ready"));
        String row = ManagedEntryFixture.entry(mute, "ready");
        store.put(
                "servers",
                "i-2",
                row.replace("\"desk\"", "\"mute\"").replace("\"slots\":4", "\"slots\":150"));
    }

    /**
     * Machine of the entry. Immutable.
     *
     * @param descriptors descriptors that its process may open
     * @param memoryMegabytes memory, in which unread bytes count
     */
    record Machine(int descriptors, int memoryMegabytes) {}

    /** Opens the connections of a crowd. */
    @FunctionalInterface
    interface Gathering {
        /**
         * Opens the connections of a crowd.
         *
         * @param port port of the entry on loopback
         * @return crowd, to be closed
         */
        Crowd at(int port);
    }

    /**
     * Checks that a crowd ends nothing: the entry lives, its memory and descriptors are bounded,
     * and an ordinary request is answered while the crowd keeps its connections.
     *
     * @param name name of the crowd, for the log
     * @param machine machine of the entry
     * @param gathering opens the connections of the crowd
     * @throws IOException if the entry cannot be started, or its state cannot be read
     */
    void check(String name, Machine machine, Gathering gathering) throws IOException {
        try (EntryProcess entry =
                        new EntryProcess(
                                store,
                                HEAP_MEGABYTES,
                                machine.descriptors(),
                                machine.memoryMegabytes());
                Crowd crowd = gathering.at(entry.port())) {
            crowd.awaitSent();
            assertTrue(entry.isAlive(), entry.end());
            long unread = SocketQueues.read(entry.port()).unreadMegabytes();
            long descriptors = entry.descriptors();
            boolean answered = OrdinaryCaller.isAnswered(entry.port());
            assertTrue(entry.isAlive(), entry.end());
            long resident = entry.peakResidentMegabytes();
            Event.named("crowd")
                    .with("name", name)
                    .with("resident", resident)
                    .with("unread", unread)
                    .with("descriptors", descriptors)
                    .with("answered", answered)
                    .info();
            assertTrue(answered, "no ordinary request is answered");
            String held = resident + " MB resident and " + unread + " MB unread";
            assertTrue(resident + unread <= machine.memoryMegabytes(), held);
            assertTrue(descriptors <= machine.descriptors(), descriptors + " descriptors");
        }
    }

    @Override
    public void close() throws IOException {
        upstream.close();
        mute.close();
        store.close();
    }
}
