package org.papayawalk.daemon.standalone;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.HostState;
import org.testng.annotations.Test;

/** Tests {@link DomainCheck}. */
public final class DomainCheckTest {
    /** A listed host. */
    private static final HostRecord HOST =
            new HostRecord(
                    new HostId("host-1"),
                    new DomainId("luzon"),
                    new RegionId("main"),
                    HostRole.AGENT,
                    "helper",
                    "127.0.0.1:1",
                    HostState.LIVE);

    /** Refuses a failure domain that no listed host is in. */
    @Test
    public void refusesUnknownDomain() {
        assertEquals(DomainCheck.faults("luzon", () -> Either.right(List.of(HOST))), List.of());
        assertEquals(DomainCheck.faults("luson", () -> Either.right(List.of(HOST))).size(), 1);
    }

    /** Starts although the host list is away. */
    @Test
    public void startsWhileListIsAway() {
        Fault away = new Fault(FaultKind.UNREACHABLE, "host-list", "127.0.0.1:1", "away");
        assertTrue(DomainCheck.faults("luzon", () -> Either.left(away)).isEmpty());
    }
}
