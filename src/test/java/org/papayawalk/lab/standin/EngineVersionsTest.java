package org.papayawalk.lab.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.papayawalk.adapter.standalone.EngineSwitchRequest;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;
import org.testng.annotations.Test;

/** Tests {@link EngineVersions} and the delayed reports of an engine stand-in. */
public final class EngineVersionsTest {
    private static final byte[] WEIGHTS = {1, 2, 3};
    private static final Digest VERSION = Digest.of(new byte[] {9});

    /** Only an engine that checks fencing numbers refuses a command with an old one. */
    @Test
    public void refusesOldFencingNumberOnlyIfItChecks() {
        EngineVersions checks = staged(true);
        assertTrue(checks.changeRole(new RoleChange("serve", 5)).isEmpty());
        assertTrue(
                checks.changeVersion(new EngineSwitchRequest(Digest.NONE, VERSION, 5)).isPresent());
        assertTrue(
                checks.changeVersion(new EngineSwitchRequest(Digest.NONE, VERSION, 6)).isEmpty());
        EngineVersions ignores = staged(false);
        assertTrue(ignores.changeRole(new RoleChange("serve", 5)).isEmpty());
        assertTrue(
                ignores.changeVersion(new EngineSwitchRequest(Digest.NONE, VERSION, 1)).isEmpty());
        assertEquals(ignores.serving(), VERSION);
    }

    /** A change is refused if the expected version is not the served one. */
    @Test
    public void refusesWrongExpectedVersion() {
        EngineVersions versions = staged(false);
        assertTrue(
                versions.changeVersion(new EngineSwitchRequest(VERSION, VERSION, 1)).isPresent());
        assertEquals(versions.serving(), Digest.NONE);
    }

    /** Cache events are published after a delay, and every tenth is missing. */
    @Test
    public void cacheEventsAreDelayedAndHaveGaps() {
        CacheEvents events = new CacheEvents();
        for (int i = 0; i < 20; i++) {
            events.add("prefix-" + i, Instant.EPOCH);
        }
        assertEquals(events.publishedAfter(0, Instant.EPOCH), List.of());
        assertEquals(events.publishedAfter(0, Instant.EPOCH.plusSeconds(1)).size(), 18);
    }

    /** The load report gives the load of 500 ms ago. */
    @Test
    public void loadReportIsDelayed() {
        DelayedLoad load = new DelayedLoad();
        assertEquals(load.recordAndReport(7, Instant.EPOCH), 0);
        assertEquals(load.recordAndReport(0, Instant.EPOCH.plusMillis(500)), 7);
    }

    private static EngineVersions staged(boolean checksFencing) {
        EngineVersions versions = new EngineVersions(checksFencing);
        Digest whole = Digest.of(WEIGHTS);
        versions.beginStaging(VERSION, new Manifest("m", "", "1", 3, 3, List.of(whole), whole));
        versions.writeStaged(VERSION, 0, WEIGHTS);
        assertEquals(versions.seal(VERSION).orElseThrow(), whole);
        return versions;
    }
}
