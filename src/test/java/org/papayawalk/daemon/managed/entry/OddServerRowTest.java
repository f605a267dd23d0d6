package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.platform.OddRegistrations;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Another writer leaves one odd row beside those of two servers. */
public final class OddServerRowTest {
    private static final int REQUESTS = 8;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ManagedEntryFixture fixture;

    private FakeUpstream later;

    /**
     * Starts an entry, and a server that registers later.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        later = new FakeUpstream(FakeUpstream.Mode.WHOLE);
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if one cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        later.close();
        fixture.close();
    }

    /**
     * Returns odd rows of each kind.
     *
     * @return what is odd, and the fields of the row
     */
    @DataProvider
    public Object[][] oddRows() {
        String unused = "127.0.0.9:9";
        Map<String, byte[]> values = OddRegistrations.all(unused);
        List<Object[]> rows = new ArrayList<>();
        for (String name :
                List.of(
                        "address 127.0.0.1:0",
                        "address 127.0.0.1:99999",
                        "address 1.2.3.999:80",
                        "address localhost:80",
                        "slots 2147483647",
                        "slots 4294967297",
                        "born 9223372036854775807",
                        "born of 400 digits",
                        "sequence of 400 digits",
                        "model version of 40000 digits",
                        "arrays of depth 500",
                        "objects of depth 20000",
                        "invalid UTF-8",
                        "zero bytes",
                        "empty")) {
            String value = Base64.getEncoder().encodeToString(values.get(name));
            rows.add(new Object[] {name, row("odd").put("value", value)});
        }
        String valid = Base64.getEncoder().encodeToString(registration(unused));
        rows.add(new Object[] {"value not base64", row("odd").put("value", "%%%")});
        rows.add(new Object[] {"value not text", row("odd").put("value", 7)});
        rows.add(new Object[] {"no value", row("odd").putNull("value")});
        rows.add(new Object[] {"empty key", row("").put("value", valid)});
        rows.add(new Object[] {"key with a line", row("i\r\nX: 1").put("value", valid)});
        return rows.toArray(Object[][]::new);
    }

    /**
     * Requests are answered, and later rows are followed.
     *
     * @param name what is odd
     * @param row fields of the row
     * @throws IOException if the store does not answer
     */
    @Test(dataProvider = "oddRows")
    public void oddRowStopsNothing(String name, ObjectNode row) throws IOException {
        write(row);
        checkFollowsStore("i-3");
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(fixture.caller().send("GET", "/read/a", "key-1").status(), 200, name);
        }
        checkFollowsStore("i-4");
    }

    /**
     * An entry that starts while the odd row exists becomes ready and answers.
     *
     * @param name what is odd
     * @param row fields of the row
     * @throws IOException if the store does not answer
     */
    @Test(dataProvider = "oddRows")
    public void entryStartsBesideOddRow(String name, ObjectNode row) throws IOException {
        write(row);
        TestCaller caller = fixture.addEntry();
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(caller.send("GET", "/read/a", "key-1").status(), 200, name);
        }
    }

    /**
     * A row that claims the address of a running server for a process that starts after the end of
     * time takes that address from no one.
     */
    @Test
    public void hugeStartTimeTakesNoAddress() {
        String row = ManagedEntryFixture.entry(fixture.first(), "ready", Long.MAX_VALUE);
        fixture.store().put("servers", "odd", row);
        checkFollowsStore("i-3");
        assertFalse(fixture.knowsUsable("odd"));
        assertTrue(fixture.knowsUsable("i-1"));
    }

    private void checkFollowsStore(String id) {
        fixture.store().put("servers", id, ManagedEntryFixture.entry(later, "ready"));
        ManagedEntryFixture.await(() -> fixture.knowsUsable(id));
    }

    private static byte[] registration(String address) {
        String text =
                """
                {"service":"desk","address":"%s","zone":"luzon-a","slots":4,"state":"ready"}
                """;
        return text.formatted(address).getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode row(String key) {
        return MAPPER.createObjectNode().put("table", "servers").put("part", "").put("key", key);
    }

    private void write(ObjectNode row) throws IOException {
        ObjectNode body = MAPPER.createObjectNode();
        body.putArray("upserts").add(row);
        URI target = URI.create("http://" + fixture.store().address() + "/rows-tx");
        HttpURLConnection connection = (HttpURLConnection) target.toURL().openConnection();
        connection.setDoOutput(true);
        connection.getOutputStream().write(MAPPER.writeValueAsBytes(body));
        assertEquals(connection.getResponseCode(), 200);
    }
}
