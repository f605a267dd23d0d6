package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.MinimumVersionRule;
import org.papayawalk.core.place.WithheldUpstreams;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.daemon.managed.PlatformSnapshot;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Asks a table which upstreams take requests, while processes come, go and state that. */
public final class UpstreamTableTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static final ServiceId SERVICE = new ServiceId("desk");

    private static final Duration DELAY = Duration.ofSeconds(2);

    private final UpstreamRegistration first = registration("i-1", 1);

    private final UpstreamRegistration second = registration("i-2", 1);

    private WithheldUpstreams withheld;

    private UpstreamTable table;

    /** Creates a table with two upstreams. */
    @BeforeMethod
    public void start() {
        withheld = new WithheldUpstreams();
        MinimumVersionRule rule = new MinimumVersionRule(Duration.ofSeconds(3));
        table = new UpstreamTable(new DefaultEventLoop(), InstantSource.fixed(NOW), rule, withheld);
        update(first, second);
    }

    /**
     * A request that was placed at a process is not sent to the next one or to one that is gone.
     */
    @Test
    public void requestIsSentToTheProcessThatItWasPlacedAt() {
        assertTrue(table.takesRequests(first, Optional.empty(), NOW));
        UpstreamRegistration next = registration("i-1", 2);
        update(next);
        assertFalse(table.takesRequests(first, Optional.empty(), NOW));
        assertTrue(table.takesRequests(next, Optional.empty(), NOW));
        assertFalse(table.takesRequests(second, Optional.empty(), NOW));
    }

    /** A statement outlives the registration of its process, but does not concern the next one. */
    @Test
    public void statementConcernsOneProcess() {
        withheld.leaving(first.process());
        update(second);
        update(first, second);
        assertFalse(table.takesRequests(first, Optional.empty(), NOW));
        assertEquals(table.candidates(SERVICE, Optional.empty(), NOW).size(), 1);
        update(registration("i-1", 2), second);
        assertEquals(table.candidates(SERVICE, Optional.empty(), NOW).size(), 2);
    }

    /** Requests can be served from the end of the first refusal on, the longest of each process. */
    @Test
    public void requestsCanBeServedFromTheEndOfTheFirstRefusalOn() {
        withheld.refusing(first.process(), DELAY, NOW);
        withheld.refusing(first.process(), DELAY.dividedBy(2), NOW);
        assertEquals(availableAt(), Optional.of(NOW));
        withheld.leaving(second.process());
        withheld.refusing(second.process(), DELAY.dividedBy(2), NOW);
        assertEquals(availableAt(), Optional.of(NOW.plus(DELAY)));
        withheld.leaving(first.process());
        assertEquals(availableAt(), Optional.empty());
    }

    private Optional<Instant> availableAt() {
        return table.availableAt(SERVICE, Optional.empty(), r -> true, NOW);
    }

    private void update(UpstreamRegistration... registrations) {
        table.update(
                new PlatformSnapshot(
                        Optional.empty(),
                        Optional.of(Map.of(SERVICE, List.of(registrations))),
                        Set.of(),
                        Map.of()));
    }

    private static UpstreamRegistration registration(String id, long incarnation) {
        return new UpstreamRegistration(
                new UpstreamId(id),
                incarnation,
                SERVICE,
                "127.0.0.1:9",
                new DomainId("luzon-a"),
                4,
                false,
                Map.of());
    }
}
