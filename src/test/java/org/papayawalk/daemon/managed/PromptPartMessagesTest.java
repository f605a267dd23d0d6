package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.suspect.PartEvidence;
import org.papayawalk.core.suspect.PromptPartRegistry;
import org.papayawalk.wire.proto.PromptPartCrash;
import org.papayawalk.wire.proto.PromptPartEvidence;
import org.papayawalk.wire.proto.ViewQuery;
import org.papayawalk.wire.proto.ViewReply;
import org.testng.annotations.Test;

/** What entries tell each other of parts of prompts that crashed upstreams. */
public final class PromptPartMessagesTest {
    private static final Instant NOW = Instant.ofEpochSecond(10_000);

    private static final Duration MAX_AGE = Duration.ofMinutes(10);

    private static final PromptPartId PART = new PromptPartId("5c1e07a2");

    private static final UpstreamProcess FIRST = process("i-1", 17);

    private static final UpstreamProcess SECOND = process("i-1", 18);

    /**
     * Evidence reaches a peer with the ages that it had, whatever the peer's clock says.
     *
     * @throws InvalidProtocolBufferException if the message cannot be decoded
     */
    @Test
    public void evidenceKeepsItsAges() throws InvalidProtocolBufferException {
        PromptPartRegistry here = registry();
        here.recordCrash(List.of(PART, part("b")), FIRST, NOW.minusSeconds(9));
        here.recordCrash(List.of(PART), SECOND, NOW.minusMillis(1));
        here.recordAnswer(List.of(part("b")), NOW.minusSeconds(3));
        ViewReply reply =
                ViewReply.newBuilder()
                        .addAllPromptParts(PromptPartMessages.encode(here, NOW))
                        .build();
        PromptPartRegistry peer = registry();
        Instant peerNow = Instant.ofEpochSecond(77_777);
        List<PromptPartEvidence> received =
                ViewReply.parseFrom(reply.toByteArray()).getPromptPartsList();
        PromptPartMessages.apply(received, peer, peerNow);
        PromptPartMessages.apply(received, peer, peerNow);
        assertEquals(peer.evidence(peerNow), here.evidence(NOW));
        assertEquals(
                peer.evidence(peerNow),
                List.of(
                        new PartEvidence(
                                PART,
                                Map.of(FIRST, Duration.ofSeconds(9), SECOND, Duration.ofMillis(1)),
                                Set.of(),
                                false),
                        new PartEvidence(
                                part("b"),
                                Map.of(FIRST, Duration.ofSeconds(9)),
                                Set.of(FIRST),
                                true)));
    }

    /** An age is rounded up, so that rounding makes it no younger. */
    @Test
    public void agesAreRoundedUp() {
        Duration age = Duration.ofNanos(1_000_001);
        PromptPartEvidence message =
                PromptPartMessages.encode(
                        new PartEvidence(PART, Map.of(FIRST, age), Set.of(), false));
        assertEquals(message.getCrashes(0).getAgeMillis(), 2);
    }

    /** What is older than 10 minutes or in the future is not told. */
    @Test
    public void agesOutOfRangeAreNotTold() {
        Duration past = MAX_AGE.plusMillis(1);
        Duration future = Duration.ofMillis(-1);
        PromptPartEvidence message =
                PromptPartMessages.encode(
                        new PartEvidence(
                                PART,
                                Map.of(FIRST, past, SECOND, future),
                                Set.of(FIRST, SECOND),
                                false));
        assertEquals(message, PromptPartEvidence.newBuilder().setPart(PART.value()).build());
        PromptPartRegistry here = registry();
        here.recordCrash(List.of(PART), FIRST, NOW.minus(past));
        assertEquals(PromptPartMessages.encode(here, NOW), List.of());
    }

    /** Of a part with very many crashes the latest ones are told. */
    @Test
    public void latestCrashesAreTold() {
        Map<UpstreamProcess, Duration> ages = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            ages.put(process("i-" + i, i), Duration.ofSeconds(i));
        }
        List<Integer> told =
                PromptPartMessages.encode(new PartEvidence(PART, ages, Set.of(), false))
                        .getCrashesList()
                        .stream()
                        .map(PromptPartCrash::getAgeMillis)
                        .toList();
        assertEquals(told.size(), 16);
        assertEquals(told.get(0), Integer.valueOf(0));
        assertEquals(told.get(15), Integer.valueOf(15_000));
    }

    /** Values of a peer that are malformed are left out, and the others hold. */
    @Test
    public void malformedValuesAreIgnored() {
        int maxMillis = (int) MAX_AGE.toMillis();
        PromptPartEvidence message =
                PromptPartEvidence.newBuilder()
                        .setPart(PART.value())
                        .addCrashes(crash("i-1", 17, maxMillis))
                        .addCrashes(crash("i-2", 1, maxMillis + 1).toBuilder().setCleared(true))
                        .addCrashes(crash("i-3", 1, -1))
                        .addCrashes(crash("i-4", 1, Integer.MIN_VALUE))
                        .addCrashes(crash("", 1, 5))
                        .build();
        PartEvidence valid = new PartEvidence(PART, Map.of(FIRST, MAX_AGE), Set.of(), false);
        assertEquals(PromptPartMessages.decode(message), Optional.of(valid));
        PromptPartRegistry parts = registry();
        PromptPartMessages.apply(
                List.of(
                        message.toBuilder().setPart("").build(),
                        message.toBuilder().setPart("a".repeat(65)).build(),
                        PromptPartEvidence.getDefaultInstance(),
                        message),
                parts,
                NOW);
        // Told at the time of the crash, as old crashes of parts that are not suspected are not.
        PartEvidence kept = new PartEvidence(PART, Map.of(FIRST, Duration.ZERO), Set.of(), false);
        assertEquals(parts.evidence(NOW.minus(MAX_AGE)), List.of(kept));
    }

    /** Which crashes an answer cleared is told of each, also that there was an answer before. */
    @Test
    public void clearedCrashesAreTold() {
        Map<UpstreamProcess, Duration> ages =
                Map.of(FIRST, Duration.ofSeconds(2), SECOND, Duration.ofSeconds(1));
        PartEvidence evidence = new PartEvidence(PART, ages, Set.of(FIRST), true);
        assertEquals(
                PromptPartMessages.decode(PromptPartMessages.encode(evidence)),
                Optional.of(evidence));
    }

    /**
     * Messages of daemons that do not know the field are accepted and change nothing.
     *
     * @throws InvalidProtocolBufferException if a message cannot be decoded
     */
    @Test
    public void messagesWithoutTheFieldAreAccepted() throws InvalidProtocolBufferException {
        PromptPartRegistry parts = registry();
        parts.recordCrash(List.of(PART), FIRST, NOW);
        // Longest wait of 1000 ms, and a store that failed 1000 ms ago: field, number.
        ViewQuery query = ViewQuery.parseFrom(new byte[] {0x18, (byte) 0xe8, 0x07});
        ViewReply reply = ViewReply.parseFrom(new byte[] {0x20, (byte) 0xe8, 0x07});
        assertEquals(query.getWaitMillis(), 1000);
        assertEquals(reply.getStoreWellMillis(), 1000);
        PromptPartMessages.apply(query.getPromptPartsList(), parts, NOW);
        PromptPartMessages.apply(reply.getPromptPartsList(), parts, NOW);
        assertEquals(parts.evidence(NOW).size(), 1);
        assertTrue(query.getPromptPartsList().isEmpty());
    }

    private static PromptPartRegistry registry() {
        return new PromptPartRegistry(p -> false);
    }

    private static PromptPartId part(String id) {
        return new PromptPartId(id);
    }

    private static UpstreamProcess process(String id, long incarnation) {
        return new UpstreamProcess(new UpstreamId(id), incarnation);
    }

    private static PromptPartCrash crash(String upstream, long incarnation, int ageMillis) {
        return PromptPartCrash.newBuilder()
                .setUpstream(upstream)
                .setIncarnation(incarnation)
                .setAgeMillis(ageMillis)
                .build();
    }
}
