package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.testng.annotations.Test;

/** Tests {@link EngineNotices} through a switch of versions, restarts and late messages. */
public final class EngineNoticesTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private static final String ADDRESS = "10.0.0.1:80";

    /** An engine takes no requests from the notice of its load until it serves the version. */
    @Test
    public void loadingEndsWithTheVersion() {
        EngineNotices notices = new EngineNotices();
        assertTrue(notices.record(notice(7, 1, 2), T0));
        assertTrue(notices.isLoading(notices.merge(registration(7, 1)), T0.plusMillis(900)));
        assertFalse(notices.isLoading(notices.merge(registration(7, 2)), T0.plusMillis(900)));
        assertTrue(notices.record(notice(7, 2, 0), T0.plusMillis(950)));
        assertFalse(notices.isLoading(notices.merge(registration(7, 1)), T0.plusMillis(950)));
    }

    /** The version of a notice counts while the registration is behind, but not after. */
    @Test
    public void higherVersionCounts() {
        EngineNotices notices = new EngineNotices();
        notices.record(notice(7, 2, 0), T0);
        assertEquals(notices.merge(registration(7, 1)).models(), Map.of("m", 2));
        assertEquals(notices.merge(registration(7, 3)).models(), Map.of("m", 3));
    }

    /** A load that never ends does not exclude the engine for good. */
    @Test
    public void loadingExpires() {
        EngineNotices notices = new EngineNotices();
        notices.record(notice(7, 1, 2), T0);
        Instant end = T0.plus(EngineNotices.MAX_LOADING_TIME);
        assertTrue(notices.isLoading(registration(7, 1), end.minusMillis(1)));
        assertFalse(notices.isLoading(registration(7, 1), end));
    }

    /** A notice says nothing about another process at the address, before or after it. */
    @Test
    public void noticeConcernsOneProcess() {
        EngineNotices notices = new EngineNotices();
        notices.record(notice(7, 2, 0), T0);
        assertEquals(notices.merge(registration(8, 0)).models(), Map.of("m", 0));
        notices.record(notice(8, 0, 2), T0);
        assertFalse(notices.record(notice(7, 2, 0), T0), "late notice of the earlier process");
        assertTrue(notices.isLoading(registration(8, 0), T0));
    }

    private static EngineNotice notice(long incarnation, int served, int loading) {
        return new EngineNotice(ADDRESS, incarnation, "m", served, loading);
    }

    private static UpstreamRegistration registration(long incarnation, int version) {
        return new UpstreamRegistration(
                new UpstreamId("u"),
                incarnation,
                new ServiceId("s"),
                ADDRESS,
                new DomainId("fes-a"),
                16,
                false,
                Map.of("m", version));
    }
}
