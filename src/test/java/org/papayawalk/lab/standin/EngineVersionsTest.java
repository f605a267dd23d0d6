package org.papayawalk.lab.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.papayawalk.adapter.VersionChange;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;
import org.testng.annotations.Test;

/** Tests {@link EngineVersions} and what an engine stand-in reports late. */
public final class EngineVersionsTest {
    /** Weights. */
    private static final byte[] WEIGHTS = {1, 2, 3};

    /** Version. */
    private static final Digest VERSION = Digest.of(new byte[] {9});

    /** An engine that checks refuses an old number; one that ignores numbers takes it. */
    @Test
    public void refusesOldFencingNumberOnlyIfItChecks() {
        EngineVersions checks = staged(true);
        assertTrue(checks.changeRole(new RoleChange("serve", 5)).isEmpty());
        assertTrue(checks.changeVersion(new VersionChange(Digest.NONE, VERSION, 5)).isPresent());
        assertTrue(checks.changeVersion(new VersionChange(Digest.NONE, VERSION, 6)).isEmpty());
        EngineVersions ignores = staged(false);
        assertTrue(ignores.changeRole(new RoleChange("serve", 5)).isEmpty());
        assertTrue(ignores.changeVersion(new VersionChange(Digest.NONE, VERSION, 1)).isEmpty());
        assertEquals(ignores.serving(), VERSION);
    }

    /** A version that is not sealed, or another expected version, is refused. */
    @Test
    public void refusesWrongExpectedVersion() {
        EngineVersions versions = staged(false);
        assertTrue(versions.changeVersion(new VersionChange(VERSION, VERSION, 1)).isPresent());
        assertEquals(versions.serving(), Digest.NONE);
    }

    /** Cache events come late and with gaps. */
    @Test
    public void cacheEventsAreLateAndHaveGaps() {
        CacheEvents events = new CacheEvents();
        for (int i = 0; i < 20; i++) {
            events.add("prefix-" + i, Instant.EPOCH);
        }
        assertEquals(events.publishedAfter(0, Instant.EPOCH), List.of());
        assertEquals(events.publishedAfter(0, Instant.EPOCH.plusSeconds(1)).size(), 18);
    }

    /** Load is reported as it was a while ago. */
    @Test
    public void loadLags() {
        DelayedLoad load = new DelayedLoad();
        assertEquals(load.recordAndReport(7, Instant.EPOCH), 0);
        assertEquals(load.recordAndReport(0, Instant.EPOCH.plusMillis(500)), 7);
    }

    /**
     * Creates versions with a sealed one.
     *
     * @param checksFencing whether old fencing numbers are refused
     * @return versions
     */
    private static EngineVersions staged(boolean checksFencing) {
        EngineVersions versions = new EngineVersions(checksFencing);
        Digest whole = Digest.of(WEIGHTS);
        versions.beginStaging(VERSION, new Manifest("m", "", "1", 3, 3, List.of(whole), whole));
        versions.writeStaged(VERSION, 0, WEIGHTS);
        assertEquals(versions.seal(VERSION).orElseThrow(), whole);
        return versions;
    }
}
