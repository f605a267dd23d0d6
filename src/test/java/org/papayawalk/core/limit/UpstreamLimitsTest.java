package org.papayawalk.core.limit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.IntStream;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Limit of an upstream for which another of two entries ranks first. */
public final class UpstreamLimitsTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static final Duration LATER = Duration.ofSeconds(5);

    private static final Duration MUCH_LATER = Duration.ofSeconds(30);

    private static final HostId SELF = new HostId("10.0.0.1");

    private static final Set<HostId> OTHERS = Set.of(new HostId("10.0.0.2"));

    // With this limit only the first entry sends.
    private static final double LOW = 0.2;

    // With this limit both entries send.
    private static final double HIGH = 2;

    private final UpstreamProcess process = processWithRank(1);

    private UpstreamLimits limits;

    /** Creates a registry that knows of a low limit. */
    @BeforeMethod
    public void start() {
        limits = new UpstreamLimits(SELF, () -> OTHERS);
        assertTrue(limits.stated(process, LOW, NOW));
    }

    /** An entry without a share sends one request after a while, to learn of the end. */
    @Test
    public void entryWithoutShareSendsOneRequestAfterAWhile() {
        assertFalse(limits.admits(process, NOW.plus(LATER)));
        Instant probe = NOW.plus(MUCH_LATER);
        assertTrue(limits.admits(process, probe));
        limits.sent(process, probe);
        assertFalse(limits.admits(process, probe.plus(LATER)));
        assertTrue(limits.notStated(process, probe));
        assertTrue(limits.admits(process, probe.plus(LATER)));
    }

    /** An answer to a request that was sent before the limit was stated does not end it. */
    @Test
    public void answerToEarlierRequestDoesNotEndTheLimit() {
        assertFalse(limits.notStated(process, NOW.minus(LATER)));
        assertFalse(limits.admits(process, NOW.plus(LATER)));
    }

    /** A notice of a higher limit, which may be out of date, allows one request only. */
    @Test
    public void higherLimitOfANoticeAllowsOneRequest() {
        Instant at = NOW.plus(LATER);
        limits.heard(List.of(notice(HIGH)), at);
        Instant probe = at.plusSeconds(1);
        assertTrue(limits.admits(process, probe));
        limits.sent(process, probe);
        assertFalse(limits.admits(process, probe.plus(LATER)));
    }

    /** A notice of a higher limit without a share for this entry confirms the known limit. */
    @Test
    public void noticeWithoutShareDefersTheNextRequest() {
        for (int i = 1; i < 10; i++) {
            limits.heard(List.of(notice(LOW * 2)), NOW.plus(LATER.multipliedBy(i)));
        }
        assertFalse(limits.admits(process, NOW.plus(LATER.multipliedBy(10))));
    }

    /** A request after a notice of the end is cancelled if the limit is stated again. */
    @Test
    public void newStatementCancelsTheRequestAfterAnEnd() {
        Instant at = NOW.plus(LATER);
        LimitNotice end = new LimitNotice(process, OptionalDouble.empty(), Duration.ZERO);
        limits.heard(List.of(end), at);
        assertTrue(limits.admits(process, at.plusSeconds(1)));
        limits.heard(List.of(notice(LOW * 2)), at.plusMillis(10));
        assertFalse(limits.admits(process, at.plusSeconds(1)));
    }

    /** A limit that is higher than the demand does not refuse requests that come together. */
    @Test
    public void requestsMayComeTogetherWithinAHighLimit() {
        limits.stated(process, 10, NOW);
        Instant at = NOW.plus(LATER);
        for (int i = 0; i < 4; i++) {
            assertTrue(limits.admits(process, at), "request " + i);
            limits.sent(process, at);
        }
        for (int i = 0; i < 10; i++) {
            limits.sent(process, at);
        }
        assertFalse(limits.admits(process, at));
    }

    private LimitNotice notice(double perSecond) {
        return new LimitNotice(process, OptionalDouble.of(perSecond), Duration.ZERO);
    }

    private static UpstreamProcess processWithRank(int rank) {
        return IntStream.range(0, 100)
                .mapToObj(i -> new UpstreamId("i-" + i))
                .filter(id -> RendezvousHash.rank(SELF, OTHERS, id.value()) == rank)
                .map(id -> new UpstreamProcess(id, 1))
                .findFirst()
                .orElseThrow();
    }
}
