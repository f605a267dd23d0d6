package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.papayawalk.wire.MessageHandler;
import org.testng.annotations.Test;

/**
 * An agent without access to the store finds the entry that replies, although most of its seeds
 * accept connections and never reply, as frozen processes and cut links do.
 */
public final class UnresponsiveEntryTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    private static final long ENTRY_TIMEOUT_MILLIS = 1500;

    private static final MessageHandler NO_WEIGHTS = new NoWeights();

    /**
     * The agent finds the entry that replies, and receives later changes through it.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void agentFindsTheEntryThatAnswers() throws IOException {
        try (FakeStore store = new FakeStore();
                ServerSocket silent = listen();
                ServerSocket mute = listen();
                RunningNodes nodes = new RunningNodes()) {
            store.put("op", "config", "{\"version\":4,\"routes\":[],\"services\":[]}");
            int control = FreePort.find();
            ManagedNode entry = nodes.add(node("front-1", control, "", store.address()));
            entry.runAsEntry(SharedEvidence.none(), NO_WEIGHTS);
            String seeds =
                    "\"127.0.0.1:%d\",\"127.0.0.1:%d\",\"127.0.0.1:%d\""
                            .formatted(silent.getLocalPort(), mute.getLocalPort(), control);
            ManagedNode agent = nodes.add(node("side-1", FreePort.find(), seeds, "127.0.0.1:1"));
            agent.runAsAgent(NO_WEIGHTS);
            Await.within(TIMEOUT_MILLIS, () -> version(agent) == 4);
            store.put("op", "config", "{\"version\":9,\"routes\":[],\"services\":[]}");
            Await.within(TIMEOUT_MILLIS, () -> version(agent) == 9);
        }
    }

    /**
     * An agent that starts before any entry replies, as after a restart of all hosts, reads the
     * store at once: before the time after which it gives up a silent entry.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void agentReadsTheStoreBeforeAnyEntryReplies() throws IOException {
        try (FakeStore store = new FakeStore();
                ServerSocket silent = listen();
                RunningNodes nodes = new RunningNodes()) {
            store.put("op", "config", "{\"version\":4,\"routes\":[],\"services\":[]}");
            String seeds = "\"127.0.0.1:%d\"".formatted(silent.getLocalPort());
            ManagedNode agent = nodes.add(node("side-1", FreePort.find(), seeds, store.address()));
            agent.runAsAgent(NO_WEIGHTS);
            Await.within(ENTRY_TIMEOUT_MILLIS, () -> version(agent) == 4);
        }
    }

    // Accepts connections in the backlog and never replies.
    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    }

    // Returns the version of the desired state at a daemon, 0 if it has none.
    private static long version(ManagedNode node) {
        return node.state().snapshot().desired().map(DesiredState::version).orElse(0L);
    }

    private static ManagedNode node(String name, int control, String seeds, String storeAddress)
            throws IOException {
        String settings =
                """
                {"nodeName":"%s","ip":"127.0.0.1","zone":"luzon-a","zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":[%s],
                 "listen":{"control":"127.0.0.1:%d"},"provider":{"address":"%s"}}
                """
                        .formatted(name, FreePort.find(), seeds, control, storeAddress);
        return new ManagedNode(
                ManagedSettingsCodec.decode(settings.getBytes(StandardCharsets.UTF_8)));
    }
}
