package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Adds up the bounds of what an entry holds. */
public final class EntryMemoryTest {
    private static final long MEGABYTE = 1024 * 1024;

    /** Heap of an entry that holds nothing of callers and upstreams. */
    private static final long OWN_BYTES = 12 * MEGABYTE;

    /** What was read of long bodies that wait for room. */
    private static final long WAITING_BODY_BYTES = 4 * MEGABYTE;

    /** Small responses beyond the bound of all. */
    private static final long SMALL_RESPONSE_BYTES = 4 * MEGABYTE;

    /** Answers of the store, the origin and other entries. */
    private static final long CLIENT_BYTES = 12 * MEGABYTE;

    /** Longest body and head that the users' sites allow. */
    private static final long SITE_BODY_BYTES = 4_194_304;

    private static final int SITE_HEADER_BYTES = 16_384;

    /** Length of the shortest header line, with its end. */
    private static final int SHORTEST_LINE_BYTES = 4;

    /**
     * The bounds fit the heap of the deployment.
     *
     * @throws IOException if the deploy file cannot be read
     */
    @Test
    public void boundsFitTheHeap() throws IOException {
        String deployed = Files.readString(Path.of("deploy/system.toml"));
        Matcher heap = Pattern.compile("-Xmx([0-9]+)m[^\n]*ManagedMain entry").matcher(deployed);
        assertTrue(heap.find());
        long bounds =
                EntryMemory.MAX_BODY_BYTES
                        + EntryMemory.MAX_RESPONSE_BYTES
                        + EntryMemory.MAX_HEADER_LINE_BYTES
                        + WAITING_BODY_BYTES
                        + SMALL_RESPONSE_BYTES
                        + CLIENT_BYTES;
        assertTrue(OWN_BYTES + bounds <= Long.parseLong(heap.group(1)) * MEGABYTE);
    }

    /** A single request of any legal size fits, also in a third of that heap. */
    @Test
    public void singleRequestFits() {
        EntryMemory memory = new EntryMemory(27 * MEGABYTE);
        assertTrue(memory.bodies().fits(SITE_BODY_BYTES));
        for (int i = 0; i < SITE_HEADER_BYTES / SHORTEST_LINE_BYTES; i++) {
            assertTrue(memory.headerLines().tryHold(), "line " + i);
        }
    }

    /** Room that was given back can be used again. */
    @Test
    public void linesAreGivenBack() {
        EntryMemory memory = new EntryMemory(27 * MEGABYTE);
        int lines = 0;
        while (memory.headerLines().tryHold()) {
            lines++;
        }
        memory.headerLines().release(lines);
        assertEquals(memory.headerLines().heldLines(), 0);
        assertTrue(memory.headerLines().tryHold());
    }
}
