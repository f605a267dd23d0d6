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

/** Tests {@link LeastLoaded} with loaded and failing upstreams. */
public final class LeastLoadedTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Slots of each upstream. */
    private static final int SLOTS = 16;

    /** A full upstream is not chosen: a request that waits at the entry can still go elsewhere. */
    @Test
    public void fullUpstreamIsNotChosen() {
        PlacementCandidate full = candidate("full");
        full.load().loadReported(new ReportedLoad(SLOTS, 8, SLOTS), T0);
        assertTrue(rule().choose(List.of(full), Set.of(), T0).isEmpty());
    }

    /** Requests of other entries count according to the load report of the upstream. */
    @Test
    public void reportedLoadOfOthersCounts() {
        PlacementCandidate busy = candidate("busy");
        PlacementCandidate idle = candidate("idle");
        busy.load().loadReported(new ReportedLoad(12, 0, SLOTS), T0);
        for (int i = 0; i < 50; i++) {
            assertEquals(rule().choose(List.of(busy, idle), Set.of(), T0).orElseThrow(), idle);
        }
    }

    /** An upstream that fails some of its requests is avoided, although its load is lower. */
    @Test
    public void failingUpstreamIsAvoided() {
        PlacementCandidate failing = candidate("failing");
        PlacementCandidate healthy = candidate("healthy");
        for (int i = 0; i < 12; i++) {
            failing.load().sent(0);
            AttemptResult result = i % 2 == 0 ? AttemptResult.BROKEN : AttemptResult.ANSWERED;
            failing.load().ended(result, T0);
        }
        for (int i = 0; i < 3; i++) {
            healthy.load().sent(0);
        }
        Instant later = T0.plusSeconds(5);
        int toFailing = 0;
        for (int i = 0; i < 100; i++) {
            PlacementCandidate c =
                    rule().choose(List.of(failing, healthy), Set.of(), later).orElseThrow();
            toFailing += c == failing ? 1 : 0;
        }
        assertEquals(toFailing, 0);
    }

    /** An upstream that refused a request is not chosen during its pause, and again after it. */
    @Test
    public void refusingUpstreamIsPaused() {
        PlacementCandidate loading = candidate("loading");
        loading.load().sent(0);
        loading.load().ended(AttemptResult.REFUSED, T0);
        assertTrue(rule().choose(List.of(loading), Set.of(), T0.plusMillis(100)).isEmpty());
        assertTrue(rule().choose(List.of(loading), Set.of(), T0.plusMillis(200)).isPresent());
    }

    /** A busier upstream is chosen over one with long prompts in prefill. */
    @Test
    public void prefillCostsMoreThanInFlightRequests() {
        PlacementCandidate prefilling = candidate("prefilling");
        PlacementCandidate decoding = candidate("decoding");
        prefilling.load().sent(2);
        for (int i = 0; i < 4; i++) {
            decoding.load().sent(1);
            decoding.load().prefillEnded(1);
        }
        for (int i = 0; i < 50; i++) {
            assertEquals(
                    rule().choose(List.of(prefilling, decoding), Set.of(), T0).orElseThrow(),
                    decoding);
        }
    }

    /**
     * Until the next load report, all entries together send an upstream at most half its slots in
     * requests, each an equal part.
     */
    @Test
    public void unreportedRequestsAreBounded() {
        PlacementRule rule = new LeastLoaded(policy(0.5), () -> 4, c -> 0, new SplittableRandom(7));
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

    /** An upstream that sends no load reports takes the next request once it answers. */
    @Test
    public void responseWithoutLoadReportResetsUnreportedRequests() {
        PlacementRule rule = new LeastLoaded(policy(0.5), () -> 8, c -> 0, new SplittableRandom(7));
        PlacementCandidate engine = candidate("engine");
        engine.load().sent(1);
        assertTrue(rule.choose(List.of(engine), Set.of(), T0).isEmpty());
        engine.load().responseStarted();
        assertTrue(rule.choose(List.of(engine), Set.of(), T0).isPresent());
    }

    /** Entries with the same stale load reports do not all choose the same upstream. */
    @Test
    public void entriesWithTheSameReportsSpread() {
        List<PlacementCandidate> engines = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            PlacementCandidate c = candidate("engine-" + i);
            c.load().loadReported(new ReportedLoad(i == 0 ? 2 : 4, 0, SLOTS), T0);
            engines.add(c);
        }
        int toLeastLoaded = 0;
        for (int entry = 0; entry < 100; entry++) {
            PlacementRule rule =
                    new LeastLoaded(policy(0.5), () -> 7, c -> 0, new SplittableRandom(entry));
            PlacementCandidate chosen = rule.choose(engines, Set.of(), T0).orElseThrow();
            toLeastLoaded += chosen == engines.get(0) ? 1 : 0;
        }
        assertTrue(
                toLeastLoaded < 50,
                toLeastLoaded + " of 100 entries chose the least loaded upstream");
    }

    /** A request is never sent to the same upstream twice. */
    @Test
    public void triedUpstreamIsNotChosenAgain() {
        PlacementCandidate only = candidate("only");
        Set<UpstreamId> tried = Set.of(only.upstream().id());
        assertTrue(rule().choose(List.of(only), tried, T0).isEmpty());
    }

    // Returns a rule without distance penalties and practically without a bound on unreported
    // requests.
    private static PlacementRule rule() {
        return new LeastLoaded(policy(1000), () -> 1, c -> 0, new SplittableRandom(7));
    }

    // Returns an idle upstream.
    private static PlacementCandidate candidate(String name) {
        UpstreamRegistration registration =
                new UpstreamRegistration(
                        new UpstreamId(name),
                        1,
                        new ServiceId("s"),
                        "10.0.0.1:80",
                        new DomainId("luzon-a"),
                        SLOTS,
                        false,
                        Map.of());
        return new PlacementCandidate(registration, new UpstreamLoad());
    }

    private static PlacementPolicy policy(double maxUnreportedShare) {
        return PlacementPolicy.ENGINES.withBounds(0.15, maxUnreportedShare);
    }
}
