package org.papayawalk.support;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Ports that no other test and no outgoing connection takes before they are listened on. */
public final class FreePortTest {
    /** First port that Linux gives to outgoing connections by default. */
    private static final int FIRST_OUTGOING = 32_768;

    /**
     * No port is returned twice, and none is one of outgoing connections.
     *
     * @throws IOException if no port is available
     */
    @Test
    public void portsAreTakenByNobodyElse() throws IOException {
        Set<Integer> found = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            int port = FreePort.find();
            assertTrue(port < FIRST_OUTGOING, "port " + port);
            assertTrue(found.add(port), "port " + port + " again");
        }
    }
}
