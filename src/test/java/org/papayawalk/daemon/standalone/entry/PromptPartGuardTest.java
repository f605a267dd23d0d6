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
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Admits requests by the evidence on the parts of their prompts. */
public final class PromptPartGuardTest {
    private static final Instant START = Instant.EPOCH;

    private static final HostId SELF = new HostId("entry-0");

    private static final List<PromptPartId> PARTS = List.of(new PromptPartId("part"));

    private PromptPartGuard guard;

    /** Creates a guard without evidence. */
    @BeforeMethod
    public void createGuard() {
        guard = withCrashes(0);
    }

    /** A suspected part runs as one trial at a time, and a request that ran is not repeated. */
    @Test
    public void runsSuspectedPartAsTrialOnly() {
        PromptPartGuard suspecting = withCrashes(2);
        PromptPartCheck holder = check(suspecting);
        assertEquals(holder.admit(false, START), Optional.empty());
        assertTrue(check(suspecting).admit(false, START).isPresent(), "second trial");
        assertTrue(holder.admit(true, START).isPresent(), "repeat");
        assertEquals(holder.admit(false, START), Optional.empty(), "did not run");
    }

    /**
     * A request that did not run is repeated without a trial although its part is suspected since.
     */
    @Test
    public void repeatNeedsTrialOfPartThatIsSuspectedSince() {
        PromptPartCheck repeated = check(guard);
        assertEquals(repeated.admit(false, START), Optional.empty());
        recordCrashes(guard, 2);
        PromptPartCheck holder = check(guard);
        assertEquals(holder.admit(false, START), Optional.empty(), "trial of another");
        assertTrue(repeated.admit(false, START).isPresent(), "second trial");
        assertEquals(holder.admit(false, START), Optional.empty(), "holder did not run");
    }

    /** The repeat of a request whose part is suspected since is the trial if there is no other. */
    @Test
    public void repeatBeginsTrialOfPartThatIsSuspectedSince() {
        PromptPartCheck repeated = check(guard);
        assertEquals(repeated.admit(false, START), Optional.empty());
        recordCrashes(guard, 2);
        assertEquals(repeated.admit(false, START), Optional.empty(), "trial");
        assertTrue(check(guard).admit(false, START).isPresent(), "second trial");
    }

    /** A trial that ended with an answer does not count as one of later crashes. */
    @Test
    public void trialEndsWithSuspicion() {
        recordCrashes(guard, 2);
        PromptPartCheck first = check(guard);
        assertEquals(first.admit(false, START), Optional.empty());
        guard.recordAnswer(PARTS, START.plusMillis(1));
        assertEquals(first.admit(false, START.plusMillis(2)), Optional.empty());
        Instant later = START.plusSeconds(2);
        for (int i = 0; i < 5; i++) {
            guard.recordCrash(PARTS, new HostId("later-" + i), 1, later);
        }
        Instant suspected = later.plusSeconds(1);
        assertEquals(check(guard).admit(false, suspected), Optional.empty(), "trial of another");
        assertTrue(first.admit(false, suspected).isPresent(), "second trial");
    }

    /** A refused part is refused until the time that its callers are told. */
    @Test
    public void refusesPartUntilRetryTime() {
        PromptPartGuard refusing = withCrashes(4);
        Duration delay = check(refusing).admit(false, START).orElseThrow();
        Instant before = START.plus(delay).minusMillis(1);
        assertTrue(check(refusing).admit(false, before).isPresent(), "too early");
        assertEquals(check(refusing).admit(false, START.plus(delay)), Optional.empty());
    }

    /** An answer that began after the crashes clears its parts. */
    @Test
    public void answerClearsParts() {
        PromptPartGuard cleared = withCrashes(4);
        cleared.recordAnswer(PARTS, START.plusMillis(1));
        assertEquals(check(cleared).admit(false, START.plusMillis(2)), Optional.empty());
        assertEquals(check(cleared).admit(true, START.plusMillis(2)), Optional.empty());
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
        PromptPartCheck check = new PromptPartCheck(guard, List.of());
        assertEquals(check.admit(false, START), Optional.empty());
        assertEquals(check.admit(true, START), Optional.empty());
    }

    private static PromptPartGuard withCrashes(int count) {
        PromptPartGuard result = new PromptPartGuard(SELF, () -> List.of(SELF));
        recordCrashes(result, count);
        return result;
    }

    private static PromptPartCheck check(PromptPartGuard guard) {
        return new PromptPartCheck(guard, PARTS);
    }

    private static void recordCrashes(PromptPartGuard guard, int count) {
        for (int i = 0; i < count; i++) {
            guard.recordCrash(PARTS, new HostId("host-" + i), 1, START);
        }
    }
}
