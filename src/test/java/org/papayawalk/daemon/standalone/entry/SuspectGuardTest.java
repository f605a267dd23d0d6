package org.papayawalk.daemon.standalone.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.admit.Priority;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.TeamId;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Refuses requests by the crashes of upstreams while the same request was running. */
public final class SuspectGuardTest {
    private static final HostId SELF = new HostId("entry-1");

    private static final Instant START = Instant.EPOCH;

    private SuspectGuard guard;

    /** Creates a guard without evidence. */
    @BeforeMethod
    public void createGuard() {
        guard =
                new SuspectGuard(
                        new SuspectRegistry(EntryRole.MAX_CRASHES, Duration.ofMinutes(10)),
                        new PromptPartGuard(SELF, () -> List.of(SELF)));
    }

    /** A call that crashes each service is refused, whatever its key. */
    @Test
    public void refusesCallThatCrashesEachService() {
        crash("key-1", 1);
        assertTrue(guard.isSuspect(call("key-2"), START));
        assertEquals(guard.refusal(call("key-2"), START), Optional.empty());
        crash("key-2", 2);
        assertTrue(guard.refusal(call("key-3"), START).isPresent());
    }

    /** A sound call that is the same each time is not refused for crashes long before. */
    @Test
    public void answeredCallIsNotRefusedForCrashesBefore() {
        crash("key-1", 1);
        guard.recordAnswer(call("key-2"), START);
        assertFalse(guard.isSuspect(call("key-3"), START));
        crash("key-3", 2);
        assertEquals(guard.refusal(call("key-4"), START), Optional.empty());
        guard.recordAnswer(call("key-4"), START);
        crash("key-5", 3);
        crash("key-6", 4);
        assertTrue(guard.refusal(call("key-7"), START).isPresent());
    }

    private void crash(String key, long incarnation) {
        guard.recordCrash(call(key), new HostId("service-1"), incarnation, START);
    }

    private static ParsedRequest call(String key) {
        return new ParsedRequest(
                null,
                new TeamId("shop"),
                Priority.values()[0],
                START.plusSeconds(10),
                "POST",
                "/orders",
                List.of(),
                new byte[0],
                "fingerprint",
                "",
                false,
                key,
                List.of());
    }
}
