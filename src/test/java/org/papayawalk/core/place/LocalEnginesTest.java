package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.papayawalk.core.call.ReportedLoad;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Places requests of one domain of three, by engines that are empty, full, slow, gone or behind a
 * slow link.
 */
public final class LocalEnginesTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static final int SLOTS = 12;

    private static final int ENGINES = 10;

    private static final int REQUESTS = 200;

    private static final DomainId NEAR = new DomainId("palermo-a");

    private final List<PlacementCandidate> engines = new ArrayList<>();

    /** Engines of the domain, and of the others. */
    private final List<PlacementCandidate> near = new ArrayList<>();

    private final List<PlacementCandidate> far = new ArrayList<>();

    private Duration farDelay = Duration.ofMillis(2);

    /** Creates engines in three domains that have half of their slots in use. */
    @BeforeMethod
    public void start() {
        engines.clear();
        near.clear();
        far.clear();
        farDelay = Duration.ofMillis(2);
        for (String domain : List.of(NEAR.value(), "catania-a", "reggio-a")) {
            for (int i = 0; i < ENGINES; i++) {
                PlacementCandidate c = engine(domain, i);
                engines.add(c);
                (domain.equals(NEAR.value()) ? near : far).add(c);
            }
        }
        report(near, SLOTS / 2, 101);
        report(far, SLOTS / 2, 101);
    }

    /** Nothing leaves while there is room, also if there is a little more elsewhere. */
    @Test
    public void nothingLeavesInCalm() {
        report(far, 2, 101);
        assertEquals(leaving(), 0);
    }

    /** Requests leave a full domain, as long as there is room elsewhere. */
    @Test
    public void requestsLeaveAFullDomain() {
        report(near, SLOTS, 101);
        assertEquals(leaving(), REQUESTS);
        report(far, SLOTS, 101);
        assertEquals(leaving(), 0);
    }

    /** Requests leave slow engines for usual ones. */
    @Test
    public void requestsLeaveSlowEngines() {
        report(near, SLOTS / 2, 300);
        assertEquals(leaving(), REQUESTS);
    }

    /** A link that has become slow costs what it takes longer. */
    @Test
    public void slowLinkKeepsRequests() {
        report(near, SLOTS, 101);
        farDelay = Duration.ofMillis(200);
        assertEquals(leaving(), 0);
    }

    /** An entry whose domain has no usable engine uses the others. */
    @Test
    public void otherDomainsServeADomainWithoutEngines() {
        near.forEach(c -> c.load().pauseUntil(NOW.plusSeconds(1)));
        assertEquals(leaving(), REQUESTS);
        engines.removeAll(near);
        assertEquals(leaving(), REQUESTS);
    }

    /** Only so many leave as even out the cost: the domain itself stays in use. */
    @Test
    public void onlyPartOfAnOverloadLeaves() {
        report(near, SLOTS - 1, 101);
        report(far, SLOTS / 2, 101);
        int left = 0;
        PlacementRule rule = rule();
        for (int i = 0; i < ENGINES * 2; i++) {
            PlacementCandidate c = rule.choose(engines, Set.of(), NOW).orElseThrow();
            c.load().sent(1);
            left += far.contains(c) ? 1 : 0;
        }
        assertTrue(left > 0 && left < ENGINES * 2, left + " left");
    }

    /** Engines that state no pace are placed by the other rule, unless the deployment asks. */
    @Test
    public void enginesWithoutPaceAreLeftToTheOtherRule() {
        engines.replaceAll(c -> new PlacementCandidate(c.upstream(), new UpstreamLoad()));
        PlacementCandidate last = engines.get(engines.size() - 1);
        assertEquals(choose(false), last);
        assertEquals(choose(true).upstream().domain(), NEAR);
    }

    private PlacementCandidate choose(boolean always) {
        PlacementRule rule =
                new LocalEngines(
                        (c, t, n) -> c.stream().findFirst(),
                        (c, t, n) -> c.stream().reduce((x, y) -> y),
                        DomainPreference.DEFAULT,
                        new HostId("10.0.0.1"),
                        NEAR,
                        always,
                        Set::of,
                        c -> Duration.ZERO);
        return rule.choose(engines, Set.of(), NOW).orElseThrow();
    }

    private int leaving() {
        PlacementRule rule = rule();
        int left = 0;
        for (int i = 0; i < REQUESTS; i++) {
            PlacementCandidate c = rule.choose(engines, Set.of(), NOW).orElseThrow();
            left += c.upstream().domain().equals(NEAR) ? 0 : 1;
        }
        return left;
    }

    private PlacementRule rule() {
        Set<HostId> others = new HashSet<>();
        for (int i = 2; i <= 13; i++) {
            others.add(new HostId("10.0.0." + i));
        }
        PlacementPolicy policy = PlacementPolicy.ENGINES.withBounds(0.05, 100);
        PlacementRule alike = new LeastLoaded(policy, () -> 8, c -> 0, new SplittableRandom(1));
        return new LocalEngines(
                alike,
                alike,
                DomainPreference.DEFAULT,
                new HostId("10.0.0.1"),
                NEAR,
                false,
                () -> others,
                c -> c.upstream().domain().equals(NEAR) ? Duration.ofMillis(1) : farDelay);
    }

    private static void report(List<PlacementCandidate> engines, int running, int pace) {
        engines.forEach(c -> c.load().loadReported(new ReportedLoad(running, 0, SLOTS, pace), NOW));
    }

    private static PlacementCandidate engine(String domain, int index) {
        UpstreamRegistration r =
                new UpstreamRegistration(
                        new UpstreamId(domain + "-" + index),
                        1,
                        new ServiceId("s"),
                        "10.1.0." + index + ":80",
                        new DomainId(domain),
                        SLOTS,
                        false,
                        Map.of());
        return new PlacementCandidate(r, new UpstreamLoad());
    }
}
