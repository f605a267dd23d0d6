package org.papayawalk.daemon.managed.agent;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.papayawalk.platform.OddRegistrations;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/** Other writers leave odd rows beside that of the engine of an agent. */
public final class OddRowsBesideEngineTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Longest value that the store takes. */
    private static final int MAX_VALUE_BYTES = 65_536;

    /**
     * The agent loads the version of a new engine, and the version that is requested later.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void agentLoadsWeightsBesideOddRows() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            Map<String, byte[]> odd = OddRegistrations.all("127.0.0.9:9");
            int count = 0;
            for (byte[] value : odd.values()) {
                if (value.length <= MAX_VALUE_BYTES) {
                    count++;
                    String text = new String(value, StandardCharsets.UTF_8);
                    fixture.store().put("servers", "odd-" + count, text);
                }
            }
            fixture.store().put("servers", "", "{}");
            fixture.store().put("op", "version/", "{\"model\":\"\",\"version\":4}");
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> fixture.engine().serving() == 1);
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":5000000000}");
            fixture.store().put("op", "config", "[".repeat(20_000));
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
            Await.within(TIMEOUT_MILLIS, () -> fixture.engine().serving() == 2);
        }
    }
}
