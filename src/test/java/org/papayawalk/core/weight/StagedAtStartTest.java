package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.papayawalk.core.id.Digest;
import org.testng.annotations.Test;

/** Verifies which chunks staged by an earlier process may belong to an order of that process. */
public final class StagedAtStartTest {
    private static final int CHUNKS = 3;

    private static final Manifest SEARCHED = manifest("2");

    private static final Manifest NEWER = manifest("3");

    /** An engine that lost what was staged is filled without delay. */
    @Test
    public void nothingIsStaged() {
        assertFalse(found(0, 0, 0).mayBeOtherThan(SEARCHED));
        assertFalse(found(0, 0, 0).mayBeOtherThan(NEWER));
    }

    /** A chunk that the engine says is not staged excludes a whole version. */
    @Test
    public void failedReadsBesideMissingChunksAreNoVersion() {
        assertFalse(found(0, 0, CHUNKS - 1).mayBeOtherThan(SEARCHED));
    }

    /** Nothing is known of what is staged. */
    @Test
    public void failedReadsMayHideAnotherVersion() {
        assertTrue(found(0, 0, CHUNKS).mayBeOtherThan(SEARCHED));
    }

    /** All that is staged belongs to another version. */
    @Test
    public void otherChunksAreAnotherVersion() {
        assertTrue(found(0, CHUNKS, 0).mayBeOtherThan(SEARCHED));
        assertTrue(found(0, 1, 0).mayBeOtherThan(SEARCHED));
    }

    /** The wanted version is staged in part; no other can be whole. */
    @Test
    public void partOfTheSearchedVersionExcludesOthers() {
        assertFalse(found(1, CHUNKS - 1, 0).mayBeOtherThan(SEARCHED));
        assertFalse(found(1, CHUNKS - 1, 0).mayBeOtherThan(NEWER));
    }

    /** A version named after the search finds a whole version staged that may be ordered. */
    @Test
    public void searchedVersionIsAnotherThanANewerOne() {
        assertFalse(found(CHUNKS, 0, 0).mayBeOtherThan(SEARCHED));
        assertTrue(found(CHUNKS, 0, 0).mayBeOtherThan(NEWER));
        assertTrue(found(CHUNKS - 1, 0, 1).mayBeOtherThan(NEWER));
    }

    private static StagedAtStart found(int matching, int other, int unread) {
        return new StagedAtStart(SEARCHED, matching, other, unread);
    }

    private static Manifest manifest(String version) {
        Digest digest = Digest.of(version.getBytes());
        List<Digest> chunks = List.of(digest, digest, digest);
        return new Manifest("m", "", version, CHUNKS, 1, chunks, digest);
    }
}
