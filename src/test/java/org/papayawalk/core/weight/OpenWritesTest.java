package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.papayawalk.core.id.Digest;
import org.testng.annotations.Test;

/** Verifies which unanswered writes stand in the way of a load. */
public final class OpenWritesTest {
    private static final Instant SENT_AT = Instant.EPOCH;

    private static final Digest OLD = Digest.of(new byte[] {1});

    private static final Digest NEW = Digest.of(new byte[] {2});

    private final OpenWrites writes = new OpenWrites();

    /**
     * Verifies that a write of the version itself does no harm, and one of another version does.
     */
    @Test
    public void writeOfAnotherVersionMaySpoilOne() {
        writes.add(0, OLD, SENT_AT);
        assertFalse(writes.maySpoil(manifest(OLD), SENT_AT));
        assertTrue(writes.maySpoil(manifest(NEW), SENT_AT.plusSeconds(10)));
    }

    /** Verifies that a write is not feared for ever. */
    @Test
    public void oldWriteIsForgotten() {
        writes.add(0, OLD, SENT_AT);
        assertFalse(writes.maySpoil(manifest(NEW), SENT_AT.plusSeconds(13)));
    }

    /** Verifies that a write to a process that has ended counts no longer. */
    @Test
    public void restartOfTheEngineEndsItsWrites() {
        writes.add(0, OLD, SENT_AT);
        writes.engineRestarted();
        assertFalse(writes.maySpoil(manifest(NEW), SENT_AT));
    }

    private static Manifest manifest(Digest chunk) {
        return new Manifest("m", "", "1", 1, 1, List.of(chunk), Digest.of(new byte[] {3}));
    }
}
