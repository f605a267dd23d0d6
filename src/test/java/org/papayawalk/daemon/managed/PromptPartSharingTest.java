package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.limit.UpstreamLimits;
import org.papayawalk.core.suspect.PartVerdict;
import org.papayawalk.core.suspect.PromptPartRegistry;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.papayawalk.wire.EventLoops;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.EntryAddress;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ViewQuery;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Entries tell each other which parts of prompts crashed upstreams, and which were answered. */
public final class PromptPartSharingTest {
    private static final long START_TIMEOUT_MILLIS = 15_000;

    private static final long SHARING_TIMEOUT_MILLIS = 2000;

    private static final int CRASHES = 4;

    private static final List<PromptPartId> BAD = List.of(new PromptPartId("bad"));

    private static final List<PromptPartId> SOUND = List.of(new PromptPartId("50"));

    private final RunningNodes nodes = new RunningNodes();

    private FakeStore store;

    private int control;

    private ManagedNode first;

    private ManagedNode second;

    private final PromptPartRegistry firstParts = new PromptPartRegistry(p -> false);

    private final PromptPartRegistry secondParts = new PromptPartRegistry(p -> false);

    /**
     * Starts two entries that know each other.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        store = new FakeStore();
        store.put("op", "config", "{\"version\":4,\"routes\":[],\"services\":[]}");
        control = FreePort.find();
        first = entry("front-1", control, firstParts);
        second = entry("front-2", FreePort.find(), secondParts);
        Await.within(
                START_TIMEOUT_MILLIS, () -> first.entryCount() == 2 && second.entryCount() == 2);
    }

    /** Stops the daemons and the store. */
    @AfterClass
    public void stop() {
        nodes.close();
        store.close();
    }

    /** Crashes that one entry saw make the other refuse the part within 2 s. */
    @Test
    public void crashesReachTheOtherEntry() {
        for (int i = 1; i <= CRASHES; i++) {
            firstParts.recordCrash(BAD, process(i), first.clock().instant());
        }
        Await.within(
                SHARING_TIMEOUT_MILLIS, () -> verdict(second, secondParts) == PartVerdict.REFUSED);
    }

    /** A complete answer at either entry clears a part for both within 2 s. */
    @Test(dependsOnMethods = "crashesReachTheOtherEntry")
    public void answersReachTheOtherEntry() {
        secondParts.recordCrash(SOUND, process(1), second.clock().instant());
        firstParts.recordCrash(SOUND, process(2), first.clock().instant());
        Await.within(
                SHARING_TIMEOUT_MILLIS,
                () ->
                        firstParts.verdict(SOUND, first.clock().instant()) == PartVerdict.TRIAL
                                && secondParts.verdict(SOUND, second.clock().instant())
                                        == PartVerdict.TRIAL);
        secondParts.recordAnswer(SOUND, second.clock().instant());
        Await.within(
                SHARING_TIMEOUT_MILLIS,
                () -> firstParts.verdict(SOUND, first.clock().instant()) == PartVerdict.CLEAR);
    }

    /**
     * An entry that starts after the crashes, as one that was killed, hears of them.
     *
     * @throws IOException if no port is free
     */
    @Test(dependsOnMethods = "answersReachTheOtherEntry")
    public void crashesReachAnEntryThatStartsAfterwards() throws IOException {
        PromptPartRegistry lateParts = new PromptPartRegistry(p -> false);
        ManagedNode late = entry("front-3", FreePort.find(), lateParts);
        Await.within(SHARING_TIMEOUT_MILLIS, () -> verdict(late, lateParts) == PartVerdict.REFUSED);
        assertEquals(lateParts.verdict(SOUND, late.clock().instant()), PartVerdict.CLEAR);
    }

    /** An entry that does not send the field is answered, and takes no evidence away. */
    @Test(dependsOnMethods = "crashesReachAnEntryThatStartsAfterwards")
    public void entryThatTellsNothingIsAnswered() {
        try (EventLoops loops = new EventLoops(1);
                PeerClient client = new PeerClient(loops)) {
            ViewQuery.Builder query =
                    ViewQuery.newBuilder()
                            .setEntry(
                                    EntryAddress.newBuilder()
                                            .setAddress("127.0.0.1:1")
                                            .setDomain("luzon-a"));
            Either<Fault, Envelope> reply =
                    client.request(
                                    "127.0.0.1:" + control,
                                    TrafficClass.LIVE,
                                    Envelope.newBuilder().setViewQuery(query),
                                    Duration.ofMillis(SHARING_TIMEOUT_MILLIS))
                            .join();
            assertTrue(reply.isRight() && reply.get().hasViewReply(), reply.toString());
            assertTrue(reply.get().getViewReply().getPromptPartsCount() > 0);
            assertEquals(verdict(first, firstParts), PartVerdict.REFUSED);
        }
    }

    /** An agent is not told: it forwards no requests by itself. */
    @Test(dependsOnMethods = "crashesReachAnEntryThatStartsAfterwards")
    public void agentIsNotTold() {
        try (EventLoops loops = new EventLoops(1);
                PeerClient client = new PeerClient(loops)) {
            Either<Fault, Envelope> reply =
                    client.request(
                                    "127.0.0.1:" + control,
                                    TrafficClass.LIVE,
                                    Envelope.newBuilder().setViewQuery(ViewQuery.newBuilder()),
                                    Duration.ofMillis(SHARING_TIMEOUT_MILLIS))
                            .join();
            assertTrue(reply.isRight() && reply.get().hasViewReply(), reply.toString());
            assertEquals(reply.get().getViewReply().getPromptPartsCount(), 0);
        }
    }

    private static PartVerdict verdict(ManagedNode node, PromptPartRegistry parts) {
        return parts.verdict(BAD, node.clock().instant());
    }

    private static UpstreamProcess process(int number) {
        return new UpstreamProcess(new UpstreamId("i-" + number), number);
    }

    private ManagedNode entry(String name, int controlPort, PromptPartRegistry parts)
            throws IOException {
        String settings =
                """
                {"nodeName":"%s","ip":"127.0.0.1","zone":"luzon-a","zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":["127.0.0.1:%d"],
                 "listen":{"control":"127.0.0.1:%d"},"provider":{"address":"%s"}}
                """
                        .formatted(name, FreePort.find(), control, controlPort, store.address());
        ManagedNode node =
                nodes.add(
                        new ManagedNode(
                                ManagedSettingsCodec.decode(
                                        settings.getBytes(StandardCharsets.UTF_8))));
        SuspectRegistry suspects = new SuspectRegistry(3, Duration.ofMinutes(1));
        UpstreamLimits limits = new UpstreamLimits(new HostId(name), Set::of);
        node.runAsEntry(new SharedEvidence(suspects, limits, parts), new NoWeights());
        return node;
    }
}
