package org.papayawalk.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reads rows of the server table that other programs wrote. */
public final class UpstreamRegistrationCodecTest {
    private static final UpstreamId ID = new UpstreamId("i-1");

    private static final Instant NOW = Instant.parse("2026-12-05T12:00:00Z");

    private static final String ADDRESS = "10.0.0.1:8080";

    private static final String VALID =
            """
            {"service":"desk","address":"10.0.0.1:8080","zone":"luzon-a","version":"1.2","slots":4,
             "state":"ready","coldRemainingMs":120.5,"sequence":7,"born":1764940000000,
             "models":[{"name":"m","version":2,"adapters":[]}]}
            """;

    /**
     * Returns values that name no server.
     *
     * @return what is odd, and the value
     */
    @DataProvider
    public Object[][] oddValues() {
        return OddRegistrations.all(ADDRESS).entrySet().stream()
                .map(e -> new Object[] {e.getKey(), e.getValue()})
                .toArray(Object[][]::new);
    }

    /**
     * Returns keys that name no server.
     *
     * @return key
     */
    @DataProvider
    public Object[][] oddKeys() {
        return new Object[][] {
            {""}, {"i 1"}, {"i\r\nX-Tenant: a"}, {"i\u0000"}, {"\ud800"}, {"i".repeat(201)}
        };
    }

    /**
     * A row as the servers write it is read, before and after an odd one.
     *
     * @param name what is odd
     * @param value value of the odd row
     */
    @Test(dataProvider = "oddValues")
    public void oddRowNamesNoServer(String name, byte[] value) {
        assertValid();
        assertEquals(UpstreamRegistrationCodec.decode(ID, value, NOW, NOW), Optional.empty(), name);
        assertValid();
    }

    /**
     * A key that no header can carry names no server.
     *
     * @param key key of the row
     */
    @Test(dataProvider = "oddKeys")
    public void oddKeyNamesNoServer(String key) {
        assertEquals(UpstreamRegistrationCodec.decodeId(key), Optional.empty());
        assertEquals(UpstreamRegistrationCodec.decodeId("i-1"), Optional.of(ID));
    }

    /** A start that another host's clock may state is valid; one days ahead is not. */
    @Test
    public void startInTheFutureNamesNoServer() {
        assertTrue(decodeBorn(NOW.plusSeconds(30).toEpochMilli()).isPresent());
        assertTrue(decodeBorn(NOW.plus(Duration.ofDays(2)).toEpochMilli()).isEmpty());
    }

    private static Optional<UpstreamRegistration> decodeBorn(long born) {
        String text = VALID.replace("1764940000000", Long.toString(born));
        return UpstreamRegistrationCodec.decode(
                ID, text.getBytes(StandardCharsets.UTF_8), NOW, NOW);
    }

    private static void assertValid() {
        byte[] value = VALID.getBytes(StandardCharsets.UTF_8);
        Optional<UpstreamRegistration> read = UpstreamRegistrationCodec.decode(ID, value, NOW, NOW);
        assertTrue(read.isPresent());
        assertEquals(read.get().address(), ADDRESS);
        assertEquals(read.get().incarnation(), 1764940000000L);
        assertEquals(read.get().models(), Map.of("m", 2));
    }
}
