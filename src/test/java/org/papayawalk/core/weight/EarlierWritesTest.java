package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.papayawalk.core.id.Digest;
import org.testng.annotations.Test;

/** Verifies which writes of an earlier process stand in the way of a load. */
public final class EarlierWritesTest {
    private static final int CHUNKS = 3;

    private static final Instant STARTED_AT = Instant.EPOCH;

    private static final Instant LATER = STARTED_AT.plusSeconds(10);

    private static final Manifest SEARCHED = manifest("4");

    private static final Manifest NEWER = manifest("5");

    /** The earlier process was staging the version searched for, of which a newer one is wanted. */
    @Test
    public void partOfTheSearchedVersionMaySpoilANewerOne() {
        assertTrue(writes(1, 2, 0, 3).maySpoil(NEWER, LATER));
    }

    /** After the served version the earlier process wrote only the one that is wanted. */
    @Test
    public void writesOfTheWantedVersionDoNoHarm() {
        assertFalse(writes(1, 2, 0, 3).maySpoil(SEARCHED, LATER));
    }

    /** Versions between the served and the wanted one may have been written. */
    @Test
    public void versionsInBetweenMaySpoilTheWantedOne() {
        assertTrue(writes(1, 2, 0, 2).maySpoil(SEARCHED, LATER));
        assertTrue(writes(1, 2, 0, 0).maySpoil(SEARCHED, LATER));
    }

    /** An engine without any chunk, or with the whole version, was not being written to. */
    @Test
    public void idleProcessLeavesNoWrites() {
        assertFalse(writes(0, 0, 0, 0).maySpoil(SEARCHED, STARTED_AT));
        assertFalse(writes(CHUNKS, 0, 0, 4).maySpoil(NEWER, STARTED_AT));
    }

    /** Chunks that could not be read may be anything. */
    @Test
    public void unreadChunksAreNotTakenForNone() {
        assertTrue(writes(0, 0, 1, 0).maySpoil(SEARCHED, STARTED_AT));
    }

    /** An agent that was started long ago has no earlier process to fear. */
    @Test
    public void writesEnd() {
        assertFalse(writes(1, 2, 0, 2).maySpoil(SEARCHED, STARTED_AT.plusSeconds(12)));
    }

    private static EarlierWrites writes(int matching, int other, int unread, int served) {
        StagedAtStart found = new StagedAtStart(SEARCHED, matching, other, unread);
        return new EarlierWrites(found, served, STARTED_AT);
    }

    private static Manifest manifest(String version) {
        Digest digest = Digest.of(version.getBytes());
        List<Digest> chunks = List.of(digest, digest, digest);
        return new Manifest("m", "", version, CHUNKS, 1, chunks, digest);
    }
}
