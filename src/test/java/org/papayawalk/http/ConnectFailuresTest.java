package org.papayawalk.http;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.ConnectException;
import org.testng.annotations.Test;

/**
 * Tests {@link ConnectFailures}. A timeout that counts as a crash turns the requests at a frozen
 * upstream into poison requests.
 */
public final class ConnectFailuresTest {

    /** A refused connection proves that nothing listens. */
    @Test
    public void refusedConnectionProvesNoListener() {
        assertTrue(ConnectFailures.provesNoListener(new ConnectException("refused")));
    }

    /** A timeout and other failures prove nothing. */
    @Test
    public void timeoutProvesNothing() {
        assertFalse(ConnectFailures.provesNoListener(new ConnectTimeoutException("300 ms")));
        assertFalse(ConnectFailures.provesNoListener(new IOException("reset")));
    }
}
