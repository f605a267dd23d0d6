package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.place.RequestedVersion;
import org.testng.annotations.Test;

/** Tests {@link NewVersionRule} at a first start, at restarts and while a daemon runs. */
public final class NewVersionRuleTest {
    private static final Optional<RequestedVersion> BEFORE_START =
            Optional.of(new RequestedVersion(3, Instant.MIN));

    /** A version that is requested while the daemon runs is new. */
    @Test
    public void versionRequestedWhileRunningIsNew() {
        RequestedVersion now = new RequestedVersion(3, Instant.parse("2026-01-01T00:00:00Z"));
        assertTrue(NewVersionRule.isNew(Optional.of(now), true, false));
        assertTrue(NewVersionRule.isNew(Optional.of(now), false, true));
    }

    /** A restarted daemon does not fetch from the origin what an engine serves. */
    @Test
    public void versionThatIsServedIsNotNewAfterRestart() {
        assertFalse(NewVersionRule.isNew(BEFORE_START, false, true));
        assertFalse(NewVersionRule.isNew(Optional.empty(), false, true));
    }

    /** After a restart of all hosts, no engine may have the version. */
    @Test
    public void versionThatNobodyServesIsNewAfterRestart() {
        assertTrue(NewVersionRule.isNew(BEFORE_START, false, false));
    }

    /** At a first start the engines hold the version. */
    @Test
    public void versionIsNotNewAtFirstStart() {
        assertFalse(NewVersionRule.isNew(Optional.empty(), true, false));
    }
}
