package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.platform.SettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerChannel;
import org.papayawalk.wire.proto.Envelope;
import org.testng.annotations.Test;

/**
 * Gives an agent, which the store turns away, a list of entries of which most take connections and
 * say nothing, as frozen processes and cut links do.
 */
public final class UnresponsiveEntryTest {
    /** Longest wait for something that must happen, in milliseconds. */
    private static final long LIMIT_MILLIS = 20_000;

    /** Handler of a daemon that keeps no weights. */
    private static final MessageHandler NO_WEIGHTS =
            new MessageHandler() {
                @Override
                public void received(Envelope message, PeerChannel from) {
                    // Weights do not matter here.
                }

                @Override
                public void closed(PeerChannel from) {
                    // Weights do not matter here.
                }
            };

    /**
     * The agent finds the entry that answers, and learns of later changes.
     *
     * @throws IOException if a port cannot be had
     */
    @Test
    public void agentFindsTheEntryThatAnswers() throws IOException {
        try (FakeStore store = new FakeStore();
                ServerSocket silent = listen();
                ServerSocket mute = listen()) {
            store.put("op", "config", "{\"version\":4,\"routes\":[],\"services\":[]}");
            int control = FreePort.find();
            ManagedNode entry = node("front-1", control, "", store.address());
            entry.runAsEntry(new SuspectRegistry(3, Duration.ofMinutes(1)), NO_WEIGHTS);
            String seeds =
                    "\"127.0.0.1:%d\",\"127.0.0.1:%d\",\"127.0.0.1:%d\""
                            .formatted(silent.getLocalPort(), mute.getLocalPort(), control);
            ManagedNode agent = node("side-1", FreePort.find(), seeds, "127.0.0.1:1");
            agent.runAsAgent(NO_WEIGHTS);
            Await.within(LIMIT_MILLIS, () -> version(agent) == 4);
            store.put("op", "config", "{\"version\":9,\"routes\":[],\"services\":[]}");
            Await.within(LIMIT_MILLIS, () -> version(agent) == 9);
        }
    }

    /**
     * Listens without ever answering.
     *
     * @return socket
     * @throws IOException if no port can be had
     */
    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    }

    /**
     * Returns the version of the desired state that a daemon has.
     *
     * @param node daemon
     * @return number, 0 for none
     */
    private static long version(ManagedNode node) {
        return node.state().snapshot().desired().map(DesiredState::version).orElse(0L);
    }

    /**
     * Makes a daemon that does not run yet.
     *
     * @param name name of its machine
     * @param control port at which others find it
     * @param seeds seeds as JSON
     * @param storeAddress address of the store
     * @return daemon
     * @throws IOException if a port cannot be had
     */
    private static ManagedNode node(String name, int control, String seeds, String storeAddress)
            throws IOException {
        String settings =
                """
                {"nodeName":"%s","ip":"127.0.0.1","zone":"luzon-a","zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":[%s],
                 "listen":{"control":"127.0.0.1:%d"},"provider":{"address":"%s"}}
                """
                        .formatted(name, FreePort.find(), seeds, control, storeAddress);
        return new ManagedNode(SettingsCodec.decode(settings.getBytes(StandardCharsets.UTF_8)));
    }
}
