package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.papayawalk.core.call.ReportedLoad;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.testng.annotations.Test;

/** Places requests on upstreams under load and faults. */
public final class LeastLoadedTest {
    /** Some moment. */
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Slots of each upstream. */
    private static final int SLOTS = 16;

    /** A full upstream takes nothing, so that the request waits where it can be sent elsewhere. */
    @Test
    public void fullUpstreamsTakeNothing() {
        PlacementCandidate full = candidate("full");
        full.load().loadReported(new ReportedLoad(SLOTS, 8, SLOTS), T0);
        assertTrue(rule().choose(List.of(full), Set.of(), T0).isEmpty());
    }

    /** Requests of other entries count, as the upstream reports them. */
    @Test
    public void reportedLoadOfOthersCounts() {
        PlacementCandidate busy = candidate("busy");
        PlacementCandidate idle = candidate("idle");
        busy.load().loadReported(new ReportedLoad(12, 0, SLOTS), T0);
        for (int i = 0; i < 50; i++) {
            assertEquals(rule().choose(List.of(busy, idle), Set.of(), T0).orElseThrow(), idle);
        }
    }

    /** An upstream that fails part of its requests gets less, though it looks idle. */
    @Test
    public void failingUpstreamIsAvoided() {
        PlacementCandidate grey = candidate("grey");
        PlacementCandidate sound = candidate("sound");
        for (int i = 0; i < 12; i++) {
            grey.load().sent(0);
            AttemptResult result = i % 2 == 0 ? AttemptResult.BROKEN : AttemptResult.ANSWERED;
            grey.load().ended(result, T0);
        }
        for (int i = 0; i < 3; i++) {
            sound.load().sent(0);
        }
        Instant later = T0.plusSeconds(5);
        int toGrey = 0;
        for (int i = 0; i < 100; i++) {
            PlacementCandidate c =
                    rule().choose(List.of(grey, sound), Set.of(), later).orElseThrow();
            toGrey += c == grey ? 1 : 0;
        }
        assertEquals(toGrey, 0);
    }

    /** An upstream that refused is left alone for a moment, and longer if it refuses again. */
    @Test
    public void refusingUpstreamIsLeftAlone() {
        PlacementCandidate loading = candidate("loading");
        loading.load().sent(0);
        loading.load().ended(AttemptResult.REFUSED, T0);
        assertTrue(rule().choose(List.of(loading), Set.of(), T0.plusMillis(100)).isEmpty());
        assertTrue(rule().choose(List.of(loading), Set.of(), T0.plusMillis(200)).isPresent());
    }

    /**
     * An upstream that reads long prompts gets the next one later than a busier one that does not.
     */
    @Test
    public void unreadPromptsCountMoreThanRunningRequests() {
        PlacementCandidate reading = candidate("reading");
        PlacementCandidate writing = candidate("writing");
        reading.load().sent(2);
        for (int i = 0; i < 4; i++) {
            writing.load().sent(1);
            writing.load().prefillEnded(1);
        }
        for (int i = 0; i < 50; i++) {
            assertEquals(
                    rule().choose(List.of(reading, writing), Set.of(), T0).orElseThrow(), writing);
        }
    }

    /**
     * Until an upstream tells of its load again, all entries together send it half its slots at the
     * most, each its part.
     */
    @Test
    public void fewRequestsAreSentBeforeTheLoadIsHeard() {
        PlacementRule rule = new LeastLoaded(0.15, 0.5, () -> 4, c -> 0, new SplittableRandom(7));
        PlacementCandidate engine = candidate("engine");
        int sent = 0;
        while (sent < SLOTS && rule.choose(List.of(engine), Set.of(), T0).isPresent()) {
            engine.load().sent(1);
            sent++;
        }
        assertEquals(sent, SLOTS / 2 / 4);
        engine.load().loadReported(new ReportedLoad(sent, 0, SLOTS), T0);
        assertTrue(rule.choose(List.of(engine), Set.of(), T0).isPresent());
    }

    /** An upstream whose answers tell no load takes the next request once it answers. */
    @Test
    public void upstreamThatTellsNoLoadIsHeardByItsAnswers() {
        PlacementRule rule = new LeastLoaded(0.15, 0.5, () -> 8, c -> 0, new SplittableRandom(7));
        PlacementCandidate engine = candidate("engine");
        engine.load().sent(1);
        assertTrue(rule.choose(List.of(engine), Set.of(), T0).isEmpty());
        engine.load().responseStarted();
        assertTrue(rule.choose(List.of(engine), Set.of(), T0).isPresent());
    }

    /** Entries with the same late reports do not all send to the same upstream. */
    @Test
    public void entriesWithTheSameReportsSpread() {
        List<PlacementCandidate> engines = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            PlacementCandidate c = candidate("engine-" + i);
            c.load().loadReported(new ReportedLoad(i == 0 ? 2 : 4, 0, SLOTS), T0);
            engines.add(c);
        }
        int toTheSame = 0;
        for (int entry = 0; entry < 100; entry++) {
            PlacementRule rule =
                    new LeastLoaded(0.15, 0.5, () -> 7, c -> 0, new SplittableRandom(entry));
            PlacementCandidate chosen = rule.choose(engines, Set.of(), T0).orElseThrow();
            toTheSame += chosen == engines.get(0) ? 1 : 0;
        }
        assertTrue(toTheSame < 50, toTheSame + " of 100 entries chose the same");
    }

    /** A request is not sent twice to the same upstream. */
    @Test
    public void triedUpstreamIsNotChosenAgain() {
        PlacementCandidate only = candidate("only");
        Set<UpstreamId> tried = Set.of(only.upstream().id());
        assertTrue(rule().choose(List.of(only), tried, T0).isEmpty());
    }

    /**
     * Makes the rule of engines without distances.
     *
     * @return rule
     */
    private static PlacementRule rule() {
        return new LeastLoaded(0.15, 1000, () -> 1, c -> 0, new SplittableRandom(7));
    }

    /**
     * Makes an idle upstream.
     *
     * @param name name
     * @return candidate
     */
    private static PlacementCandidate candidate(String name) {
        UpstreamRegistration entry =
                new UpstreamRegistration(
                        new UpstreamId(name),
                        1,
                        new ServiceId("s"),
                        "10.0.0.1:80",
                        new DomainId("luzon-a"),
                        SLOTS,
                        false,
                        Map.of());
        return new PlacementCandidate(entry, new UpstreamLoad());
    }
}
