package org.papayawalk.daemon.standalone.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.PromptPartId;
import org.testng.annotations.Test;

/** Admits requests by the evidence on the parts of their prompts. */
public final class PromptPartGuardTest {
    private static final Instant START = Instant.EPOCH;

    private static final HostId SELF = new HostId("entry-0");

    private static final List<PromptPartId> PARTS = List.of(new PromptPartId("part"));

    private final PromptPartGuard guard = new PromptPartGuard(SELF, () -> List.of(SELF));

    /** A suspected part runs as one trial at a time, and a request that ran is not repeated. */
    @Test
    public void runsSuspectedPartAsTrialOnly() {
        PromptPartGuard suspecting = withCrashes(2);
        assertEquals(suspecting.admit(PARTS, 0, false, START), Optional.empty());
        assertTrue(suspecting.admit(PARTS, 0, false, START).isPresent(), "second trial");
        assertTrue(suspecting.admit(PARTS, 1, true, START).isPresent(), "repeat");
        assertEquals(suspecting.admit(PARTS, 1, false, START), Optional.empty(), "did not run");
    }

    /** A refused part is refused until the time that its callers are told. */
    @Test
    public void refusesPartUntilRetryTime() {
        PromptPartGuard refusing = withCrashes(4);
        Duration delay = refusing.admit(PARTS, 0, false, START).orElseThrow();
        Instant before = START.plus(delay).minusMillis(1);
        assertTrue(refusing.admit(PARTS, 0, false, before).isPresent(), "too early");
        assertEquals(refusing.admit(PARTS, 0, false, START.plus(delay)), Optional.empty());
    }

    /** An answer that began after the crashes clears its parts. */
    @Test
    public void answerClearsParts() {
        PromptPartGuard cleared = withCrashes(4);
        cleared.recordAnswer(PARTS, START.plusMillis(1));
        assertEquals(cleared.admit(PARTS, 0, false, START.plusMillis(2)), Optional.empty());
        assertEquals(cleared.admit(PARTS, 1, true, START.plusMillis(2)), Optional.empty());
    }

    /** Crashes beside a suspected part that a request lacks are not counted against the request. */
    @Test
    public void suspectedPartExplainsCrashesOfOtherRequests() {
        PromptPartGuard suspecting = withCrashes(2);
        List<PromptPartId> sound = List.of(new PromptPartId("sound"));
        Set<String> crashed = Set.of("host-0/1", "host-1/1", SELF + "/3");
        suspecting.recordCrash(sound, SELF, 3, START);
        assertEquals(suspecting.unexplained(sound, crashed, START), 1, "own crash");
        assertEquals(suspecting.unexplained(PARTS, crashed, START), 3, "own part");
        assertEquals(withCrashes(1).unexplained(sound, crashed, START), 3, "not suspected");
    }

    /** A request without parts is admitted in any case. */
    @Test
    public void admitsRequestWithoutParts() {
        guard.recordCrash(List.of(), SELF, 1, START);
        assertEquals(guard.admit(List.of(), 0, false, START), Optional.empty());
        assertEquals(guard.admit(List.of(), 3, true, START), Optional.empty());
    }

    private static PromptPartGuard withCrashes(int count) {
        PromptPartGuard result = new PromptPartGuard(SELF, () -> List.of(SELF));
        for (int i = 0; i < count; i++) {
            result.recordCrash(PARTS, new HostId("host-" + i), 1, START);
        }
        return result;
    }
}
