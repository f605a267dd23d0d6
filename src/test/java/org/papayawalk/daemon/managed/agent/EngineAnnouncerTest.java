package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.upstream.EngineNotice;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.testng.annotations.Test;

/** Tests what {@link EngineAnnouncer} tells entries through the switch of a version. */
public final class EngineAnnouncerTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private final List<EngineNotice> sent = new ArrayList<>();

    private final EngineAnnouncer announcer = new EngineAnnouncer("10.0.0.1:80", sent::add);

    /**
     * Entries hear of a load before the order, and of the version after it; reports in between that
     * tell nothing new, or are older than the order, are not passed on.
     */
    @Test
    public void entriesHearOfEachChangeOnce() {
        sent.clear();
        announcer.reported("m", report(1, false), T0);
        announcer.reported("m", report(1, false), T0.plusMillis(700));
        announcer.loadOrdered(new WeightVersion("m", 2), report(1, false), T0.plusMillis(800));
        announcer.reported("m", report(1, false), T0.plusMillis(900));
        announcer.reported("m", report(1, true), T0.plusMillis(1150));
        announcer.reported("m", report(2, false), T0.plusMillis(1300));
        assertEquals(
                sent.stream().map(n -> n.served() + "/" + n.loading()).toList(),
                List.of("1/0", "1/2", "2/0"));
    }

    /** An unchanged state is repeated after three seconds. */
    @Test
    public void unchangedStateIsRepeated() {
        sent.clear();
        EngineAnnouncer fresh = new EngineAnnouncer("10.0.0.1:80", sent::add);
        fresh.reported("m", report(1, false), T0);
        fresh.reported("m", report(1, false), T0.plusMillis(2999));
        fresh.reported("m", report(1, false), T0.plusMillis(3000));
        assertEquals(sent.size(), 2);
    }

    private static EngineReport report(int served, boolean loading) {
        return new EngineReport(7, Map.of("m", served), loading, 0, 0, 0);
    }
}
