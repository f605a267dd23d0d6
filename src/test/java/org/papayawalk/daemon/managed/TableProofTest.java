package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.wire.proto.TableProof;
import org.papayawalk.wire.proto.ViewQuery;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a source tells its followers of the store: proofs that they lack nothing, and failures. */
public final class TableProofTest {
    private static final String SERVERS = "servers";

    private static final String ROW =
            """
            {"service":"desk","address":"10.0.0.1:80","zone":"luzon-a","slots":4,"state":"ready"}
            """;

    private static final Instant PROVEN = Instant.parse("2026-01-01T00:00:00Z");

    private static final Duration AGE = Duration.ofMillis(500);

    /** Earliest time at which the follower's answer was sent, by its own clock. */
    private static final Instant TOLD = Instant.parse("2026-07-01T00:00:00Z");

    private ControlThread thread;

    private PlatformState source;

    private PlatformState follower;

    /** Creates a source and a follower with one row. */
    @BeforeMethod
    public void start() {
        thread = new ControlThread("proof-test");
        source = new PlatformState(new MonotonicClock(), thread);
        follower = new PlatformState(new MonotonicClock(), thread);
        write(source, 1, false);
        write(follower, 1, false);
        source.table(SERVERS).recordComplete(version(1), PROVEN);
    }

    /** Ends the thread. */
    @AfterMethod
    public void stop() {
        thread.close();
    }

    /** A proof is as old at the follower as at the source. */
    @Test
    public void proofKeepsItsAge() {
        StateSyncMessages.applyProofs(proofs(), follower, TOLD);
        assertEquals(follower.table(SERVERS).completeUntil(), TOLD.minus(AGE));
    }

    /** A follower that lacks a version of its source takes no proof for that. */
    @Test
    public void proofOfNewerVersionIsIgnored() {
        write(source, 2, false);
        StateSyncMessages.applyProofs(proofs(), follower, TOLD);
        assertEquals(follower.table(SERVERS).completeUntil(), Instant.MIN);
    }

    /** Nothing is told of a table that no answer of the store has proven. */
    @Test
    public void unprovenTableIsLeftOut() {
        ViewQuery.Builder query = ViewQuery.newBuilder();
        StateSyncMessages.addMarks(query, follower);
        assertTrue(StateSyncMessages.proofs(query.build(), follower, PROVEN).isEmpty());
    }

    /** Proofs of unknown tables are ignored. */
    @Test
    public void unknownTableIsIgnored() {
        TableProof odd = TableProof.newBuilder().setTable("odd").setAgeMillis(-1).build();
        StateSyncMessages.applyProofs(List.of(odd), follower, TOLD);
        assertEquals(follower.table(SERVERS).completeUntil(), Instant.MIN);
    }

    /**
     * A registration that lapsed in an outage which only the source has met is kept for a while.
     */
    @Test
    public void outageOfTheSourceCountsForItsRows() {
        follower.storeHealth().recordPeerFailure(new MonotonicClock().instant());
        write(follower, 2, true);
        assertEquals(upstreams(follower), 1);
        write(source, 2, true);
        assertEquals(upstreams(source), 0);
    }

    private List<TableProof> proofs() {
        ViewQuery.Builder query = ViewQuery.newBuilder();
        StateSyncMessages.addMarks(query, follower);
        return StateSyncMessages.proofs(query.build(), source, PROVEN.plus(AGE));
    }

    private static int upstreams(PlatformState state) {
        return state.snapshot().upstreams(new ServiceId("desk")).size();
    }

    private static void write(PlatformState state, long number, boolean removed) {
        byte[] value = removed ? new byte[0] : ROW.getBytes(StandardCharsets.UTF_8);
        TableRecord row = new TableRecord("i-1", value, number, removed);
        TableUpdate update = new TableUpdate(List.of(row), version(number), number == 1);
        state.applyUpdate(SERVERS, update, number - 1, "test");
    }

    private static TableVersion version(long number) {
        return new TableVersion(StoreEra.INITIAL, number);
    }
}
