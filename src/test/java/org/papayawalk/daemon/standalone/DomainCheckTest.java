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
    private static final HostRecord HOST =
            new HostRecord(
                    new HostId("host-1"),
                    new DomainId("luzon"),
                    new RegionId("main"),
                    HostRole.AGENT,
                    "helper",
                    "127.0.0.1:1",
                    HostState.LIVE);

    /** A failure domain that no listed host is in, such as a mistyped one, is an error. */
    @Test
    public void rejectsUnknownDomain() {
        assertEquals(DomainCheck.faults("luzon", () -> Either.right(List.of(HOST))), List.of());
        assertEquals(DomainCheck.faults("luson", () -> Either.right(List.of(HOST))).size(), 1);
    }

    /** The check passes while the host list is unavailable, so that the daemon can start. */
    @Test
    public void passesWhileHostListIsUnavailable() {
        Fault fault = new Fault(FaultKind.UNREACHABLE, "host-list", "127.0.0.1:1", "unavailable");
        assertTrue(DomainCheck.faults("luzon", () -> Either.left(fault)).isEmpty());
    }
}
