package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.daemon.ControlThread;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Rows of the operator's table that cannot be read, between rows that can. */
public final class OddOperatorRowTest {
    private static final String TABLE = "op";

    private static final String MODEL_KEY = "version/m";

    private static final String DESIRED =
            """
            {"version":%s,"routes":[{"name":"read","host":"a.example","prefix":"/","kind":"safe",
             "timeoutMs":3000,"service":"desk"}],"services":[{"name":"desk"}]}
            """;

    private final ControlThread thread = new ControlThread("odd-rows-test");

    private PlatformState state;

    private long tableVersion;

    /** Creates a state that has read an empty table. */
    @BeforeMethod
    public void start() {
        state = new PlatformState(new MonotonicClock(), thread);
        tableVersion = 0;
        apply(List.of());
    }

    /** Ends the thread of the timers. */
    @AfterClass
    public void stop() {
        thread.close();
    }

    /**
     * Returns desired states that cannot be read.
     *
     * @return text of the row
     */
    @DataProvider
    public Object[][] oddDesiredStates() {
        String deep = "[".repeat(20_000) + "]".repeat(20_000);
        return rows(
                Stream.of(
                        "",
                        "null",
                        "[]",
                        "{}",
                        "{\"version\":2,",
                        "\u0000\u0000\u0000\u0000",
                        DESIRED.formatted("null"),
                        DESIRED.formatted("\"2\""),
                        DESIRED.formatted("1e400"),
                        DESIRED.formatted("-1"),
                        DESIRED.formatted("9223372036854775808"),
                        DESIRED.formatted("9".repeat(400)),
                        DESIRED.formatted("2").replace("3000", deep),
                        DESIRED.formatted("2").replace("3000", "9".repeat(20_000)),
                        DESIRED.formatted("2") + "}"));
    }

    /**
     * The desired state in force stays in force, and the next one is adopted.
     *
     * @param odd text of the odd row
     */
    @Test(dataProvider = "oddDesiredStates")
    public void unreadableDesiredStateChangesNothing(String odd) {
        put("config", DESIRED.formatted("1"));
        assertEquals(desiredVersion(), 1);
        put("config", odd);
        assertEquals(desiredVersion(), 1);
        put("config", DESIRED.formatted("3"));
        assertEquals(desiredVersion(), 3);
    }

    /**
     * Returns texts that no sound desired state has at most places.
     *
     * @return JSON text
     */
    @DataProvider
    public Object[][] oddTexts() {
        return rows(
                Stream.of(
                        "\"\"",
                        "\" \"",
                        "\"Bozi Cakes\"",
                        "\" Bozi \"",
                        "\"\\u0000\\r\\n\"",
                        "\"\\u7cd6\\u0417\\u00e9\"",
                        "\"\\ud800\"",
                        "\"" + "x".repeat(70_000) + "\"",
                        "null",
                        "7",
                        "[]",
                        "{}"));
    }

    /**
     * A desired state with an odd text at any place is in force, with its sound parts.
     *
     * @param odd JSON text
     */
    @Test(dataProvider = "oddTexts")
    public void oddTextStopsNoDesiredState(String odd) {
        String parts =
                """
                {"version":%d,"routes":[{"name":"sound","host":"a.example","prefix":"/s/",
                 "service":"desk"},{"name":"odd","host":"a.example","prefix":"/o/","kind":"safe",
                 "service":"desk"}],
                 "services":[{"name":"desk"},{"name":"engines","engine":{"models":[{"name":"m"}]}},
                 {"name":"origin","origin":"127.0.0.1:1","zone":"luzon-a"}],
                 "tenants":[{"name":"bakers","apiKeys":["k1"]},{"name":"team","apiKeys":["k2"]}]}
                """;
        String[] places = {
            "\"odd\"",
            "\"/o/\"",
            "\"safe\"",
            "\"engines\"",
            "\"m\"",
            "\"origin\",",
            "\"127.0.0.1:1\"",
            "\"luzon-a\"",
            "\"team\"",
            "\"k2\""
        };
        int version = 0;
        for (String place : places) {
            version++;
            String text = place.endsWith(",") ? odd + "," : odd;
            put("config", parts.formatted(version).replace(place, text));
            DesiredState desired = state.snapshot().desired().orElseThrow();
            assertEquals(desired.version(), version, place + " replaced by " + odd);
            assertEquals(desired.routes().find("a.example", "/s/x").orElseThrow().name(), "sound");
            assertEquals(desired.callersByKey().get("k1").team().value(), "bakers");
        }
    }

    /** What cannot be used is left out alone. */
    @Test
    public void unusablePartsAreLeftOut() {
        String text =
                """
                {"version":2,"routes":[7,{"name":"a","host":"a.example","prefix":"/a/"},
                 {"name":"b","host":"a.example","prefix":"/b/","service":"desk"}],
                 "services":[{"name":""},{"name":"desk"}],
                 "tenants":[{"name":"\\r","apiKeys":["k1"]},{"name":"x","apiKeys":["k2"]}]}
                """;
        put("config", text);
        DesiredState desired = state.snapshot().desired().orElseThrow();
        assertEquals(desired.version(), 2);
        assertEquals(desired.routes().size(), 1);
        assertEquals(desired.services().size(), 1);
        assertEquals(desired.callersByKey().keySet(), Set.of("k2"));
    }

    /**
     * Returns rows that set no version of weights.
     *
     * @return text of the row
     */
    @DataProvider
    public Object[][] oddVersions() {
        String version = "{\"model\":\"m\",\"version\":%s}";
        return rows(
                Stream.of(
                        "",
                        "null",
                        "{}",
                        "[".repeat(20_000),
                        version.formatted("0"),
                        version.formatted("-1"),
                        version.formatted("-0"),
                        version.formatted("2.0"),
                        version.formatted("1e400"),
                        version.formatted("null"),
                        version.formatted("\"2\""),
                        version.formatted("4294967298"),
                        version.formatted("5000000000"),
                        version.formatted("9223372036854775807"),
                        version.formatted("9".repeat(400)),
                        version.formatted("9".repeat(20_000))));
    }

    /**
     * The newest version stays the newest, and the next one is adopted.
     *
     * @param odd text of the odd row
     */
    @Test(dataProvider = "oddVersions")
    public void unreadableVersionStopsNoLaterOne(String odd) {
        put(MODEL_KEY, "{\"model\":\"m\",\"version\":1}");
        put(MODEL_KEY, odd);
        assertEquals(newestVersion(), 1);
        put(MODEL_KEY, "{\"model\":\"m\",\"version\":3}");
        assertEquals(newestVersion(), 3);
    }

    /**
     * Returns numbers beyond the range in which limits are kept.
     *
     * @return JSON text
     */
    @DataProvider
    public Object[][] largeNumbers() {
        return rows(Stream.of("4294967297", "9223372036854775807", "9".repeat(40), "1e400"));
    }

    /**
     * A limit beyond the range is read as a long one, not as a short or a negative one.
     *
     * @param number JSON text
     */
    @Test(dataProvider = "largeNumbers")
    public void largeLimitStaysLarge(String number) {
        String limits = "\"limits\":{\"maxBodyBytes\":%1$s,\"idleTimeoutMs\":%1$s},\"routes\"";
        String text = DESIRED.formatted("1").replace("\"routes\"", limits.formatted(number));
        put("config", text.replace("3000", number));
        DesiredState desired = state.snapshot().desired().orElseThrow();
        assertEquals(desired.limits().maxBodyBytes(), Integer.MAX_VALUE);
        assertTrue(desired.limits().idleTimeout().toNanos() > 0);
        assertEquals(
                desired.routes().find("a.example", "/").orElseThrow().timeout().toMillis(),
                Integer.MAX_VALUE);
    }

    private static Object[][] rows(Stream<String> texts) {
        return texts.map(t -> new Object[] {t}).toArray(Object[][]::new);
    }

    private long desiredVersion() {
        return state.snapshot().desired().orElseThrow().version();
    }

    private int newestVersion() {
        return state.snapshot().newestVersion("m").map(RequestedVersion::number).orElseThrow();
    }

    private void put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        apply(List.of(new TableRecord(key, bytes, tableVersion + 1, false)));
    }

    private void apply(List<TableRecord> rows) {
        long after = tableVersion;
        tableVersion++;
        TableVersion version = new TableVersion(StoreEra.INITIAL, tableVersion);
        state.applyUpdate(TABLE, new TableUpdate(rows, version, after == 0), after, "test");
    }
}
