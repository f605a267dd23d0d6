package org.papayawalk.daemon.managed;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/** The row of a server becomes unreadable around an outage of the store. */
public final class OddRowInOutageTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private static final String ROW =
            """
            {"service":"desk","address":"10.0.0.1:80","zone":"luzon-a","slots":4,"state":"ready"}
            """;

    /** The server gets no requests for good; it is given up like one whose row was removed. */
    @Test
    public void unreadableRowIsGivenUpAfterItsGrace() {
        try (ControlThread thread = new ControlThread("odd-row-test")) {
            PlatformState state = new PlatformState(new MonotonicClock(), thread);
            thread.execute(() -> apply(state, 1, ROW));
            Await.within(TIMEOUT_MILLIS, () -> upstreams(state) == 1);
            thread.execute(state.storeHealth()::recordFailure);
            thread.execute(() -> apply(state, 2, "{"));
            Await.within(TIMEOUT_MILLIS, () -> upstreams(state) == 0);
            thread.execute(() -> apply(state, 3, ROW));
            Await.within(TIMEOUT_MILLIS, () -> upstreams(state) == 1);
        }
    }

    private static int upstreams(PlatformState state) {
        return state.snapshot().upstreams(new ServiceId("desk")).size();
    }

    private static void apply(PlatformState state, long version, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        TableRecord row = new TableRecord("i-1", bytes, version, false);
        TableVersion tableVersion = new TableVersion(StoreEra.INITIAL, version);
        TableUpdate update = new TableUpdate(List.of(row), tableVersion, version == 1);
        state.applyUpdate("servers", update, version - 1, "test");
    }
}
