package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.papayawalk.core.upstream.TableRecord;
import org.testng.annotations.Test;

/** Tests {@link UnreadableRows}. */
public final class UnreadableRowsTest {

    /** A row that is read again and again is logged once for each version. */
    @Test
    public void rowIsLoggedOncePerVersion() {
        UnreadableRows rows = new UnreadableRows();
        assertTrue(rows.logsNow(row("a", 1000)));
        assertFalse(rows.logsNow(row("a", 1000)));
        assertTrue(rows.logsNow(row("b", 1000)));
        assertTrue(rows.logsNow(row("a", 1001)));
        assertFalse(rows.logsNow(row("a", 1001)));
    }

    private static TableRecord row(String key, long version) {
        return new TableRecord(key, new byte[0], version, false);
    }
}
