package org.papayawalk.daemon.managed;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.papayawalk.wire.EventLoops;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerServer;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.EntryAddress;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.TableChanges;
import org.papayawalk.wire.proto.TableRow;
import org.papayawalk.wire.proto.UpstreamLimit;
import org.papayawalk.wire.proto.ViewReply;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Rows of the entry table and replies of peers that cannot be used, beside ones that can. */
public final class OddPeerDataTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final MessageHandler NO_WEIGHTS = new NoWeights();

    private static final String UNREACHABLE_STORE = "127.0.0.1:1";

    /**
     * Returns values of rows that list no entry.
     *
     * @return text of the row
     */
    @DataProvider
    public Object[][] oddEntryRows() {
        return new Object[][] {
            {""},
            {"garbage"},
            {"garbage luzon-a"},
            {":7 luzon-a"},
            {"127.0.0.9:99999 luzon-a"},
            {"127.0.0.999:7 luzon-a"},
            {"host.example:7 luzon-a"},
            {"127.0.0.9:7 luzon*a"},
            {"127.0.0.9:7 " + "a".repeat(60_000)},
            {"127.0.0.9:7 luzon a"},
            {" 127.0.0.9:7"}
        };
    }

    /**
     * An entry finds another one by its row, although an odd row comes before it.
     *
     * @param odd value of the odd row
     * @throws IOException if no port is free
     */
    @Test(dataProvider = "oddEntryRows")
    public void oddEntryRowHidesNoEntry(String odd) throws IOException {
        try (FakeStore store = new FakeStore();
                RunningNodes nodes = new RunningNodes()) {
            store.put("papayawalk-entries", "a", odd);
            ManagedNode first = nodes.add(node("front-1", "", store.address()));
            first.runAsEntry(SharedEvidence.none(), NO_WEIGHTS);
            Await.within(TIMEOUT_MILLIS, () -> store.has("papayawalk-entries", "front-1"));
            ManagedNode second = nodes.add(node("front-2", "", store.address()));
            second.runAsEntry(SharedEvidence.none(), NO_WEIGHTS);
            String address = first.settings().peerAddress();
            Await.within(TIMEOUT_MILLIS, () -> second.liveEntries().containsKey(address));
        }
    }

    /**
     * Returns replies with a part that cannot be used.
     *
     * @return reply
     */
    @DataProvider
    public Object[][] oddReplies() {
        return new Object[][] {
            {ViewReply.newBuilder().addEntries(entry("127.0.0.9:7", "luzon*a"))},
            {ViewReply.newBuilder().addEntries(entry("", ""))},
            {ViewReply.newBuilder().addEntries(entry("garbage", "luzon-a"))},
            {ViewReply.newBuilder().addLimits(UpstreamLimit.newBuilder().setPerSecond(1))},
            {
                ViewReply.newBuilder()
                        .addLimits(
                                UpstreamLimit.newBuilder()
                                        .setUpstream("i-1")
                                        .setPerSecond(Double.NaN))
            },
            {ViewReply.newBuilder().addChanges(changes("servers", 5, ""))},
            {ViewReply.newBuilder().addChanges(changes("unknown", 5, "a"))}
        };
    }

    /**
     * An agent goes on with its queries after an odd reply, and receives later rows.
     *
     * @param odd odd reply
     * @throws IOException if no port is free
     */
    @Test(dataProvider = "oddReplies")
    public void oddReplyEndsNoQueries(ViewReply.Builder odd) throws IOException {
        AtomicInteger queries = new AtomicInteger();
        MessageHandler peer =
                new MessageHandler() {
                    @Override
                    public void onMessage(Envelope message, PeerServerConnection from) {
                        boolean first = queries.incrementAndGet() == 1;
                        ViewReply.Builder later =
                                ViewReply.newBuilder().addChanges(changes("op", 9, "config"));
                        from.send(
                                Envelope.newBuilder()
                                        .setCall(message.getCall())
                                        .setViewReply(first ? odd : later)
                                        .build());
                    }

                    @Override
                    public void onClose(PeerServerConnection from) {
                        // Nothing is kept for a connection.
                    }
                };
        EventLoops loops = new EventLoops(1);
        try (PeerServer server =
                        new PeerServer(loops, new InetSocketAddress("127.0.0.1", 0), peer);
                RunningNodes nodes = new RunningNodes()) {
            String seed = "\"127.0.0.1:%d\"".formatted(server.address().getPort());
            ManagedNode agent = nodes.add(node("side-1", seed, UNREACHABLE_STORE));
            agent.runAsAgent(NO_WEIGHTS);
            Await.within(
                    TIMEOUT_MILLIS,
                    () ->
                            agent.state().snapshot().desired().map(DesiredState::version).orElse(0L)
                                    == 9);
        } finally {
            loops.close();
        }
    }

    private static EntryAddress entry(String address, String domain) {
        return EntryAddress.newBuilder().setAddress(address).setDomain(domain).build();
    }

    private static TableChanges changes(String table, long version, String key) {
        String value = "{\"version\":%d,\"routes\":[],\"services\":[]}".formatted(version);
        return TableChanges.newBuilder()
                .setTable(table)
                .setVersion(version)
                .setWhole(true)
                .addRows(
                        TableRow.newBuilder()
                                .setKey(key)
                                .setVersion(version)
                                .setValue(ByteString.copyFromUtf8(value)))
                .build();
    }

    private static ManagedNode node(String name, String seeds, String store) throws IOException {
        String settings =
                """
                {"nodeName":"%s","ip":"127.0.0.1","zone":"luzon-a","zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":[%s],"listen":{},"provider":{"address":"%s"}}
                """
                        .formatted(name, FreePort.find(), seeds, store);
        return new ManagedNode(
                ManagedSettingsCodec.decode(settings.getBytes(StandardCharsets.UTF_8)));
    }
}
