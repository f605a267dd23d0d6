package org.papayawalk.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.Manifest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reads reports and manifests with values out of range. */
public final class EngineCodecTest {
    private static final String REPORT =
            """
            {"born":%s,"busy":false,"sequence":%s,"queued":%s,"active":%s,
             "models":[{"name":"m","version":%s}]}
            """;

    private static final String MANIFEST =
            """
            {"model":"m","version":%s,"chunkBytes":%s,"digests":["%s"]}
            """;

    private static final String DIGEST = "ab".repeat(32);

    /**
     * Returns numbers that no report states.
     *
     * @return JSON text
     */
    @DataProvider
    public Object[][] oddNumbers() {
        return new Object[][] {
            {"-1"},
            {"1.5"},
            {"1e400"},
            {"\"1\""},
            {"9223372036854775808"},
            {"9".repeat(40)},
            {"9".repeat(20_000)},
            {"[".repeat(500) + "]".repeat(500)}
        };
    }

    /**
     * A report with a number out of range is malformed, and the next one is read.
     *
     * @param number JSON text
     * @throws IOException if a good report cannot be read
     */
    @Test(dataProvider = "oddNumbers")
    public void reportWithNumberOutOfRangeIsMalformed(String number) throws IOException {
        assertMalformed(REPORT.formatted(number, 1, 0, 0, 1));
        assertMalformed(REPORT.formatted(1, number, 0, 0, 1));
        assertMalformed(REPORT.formatted(1, 1, number, 0, 1));
        assertMalformed(REPORT.formatted(1, 1, 0, number, 1));
        EngineReport good = report(REPORT.formatted(7, 3, 2, 1, 5));
        assertEquals(good, new EngineReport(7, Map.of("m", 5), false, 3, 2, 1));
    }

    /** A count beyond the range of a count is malformed. */
    @Test
    public void reportWithHugeCountIsMalformed() {
        assertMalformed(REPORT.formatted(1, 1, "4294967296", 0, 1));
        assertMalformed(REPORT.formatted(1, 1, 0, "4294967296", 1));
        assertMalformed(REPORT.formatted(1, 1, 0, 0, "4294967296"));
    }

    /**
     * A manifest of another version, or with chunks of another length than stated, is malformed.
     *
     * @throws IOException if a good manifest cannot be read
     */
    @Test
    public void manifestWithNumberOutOfRangeIsMalformed() throws IOException {
        assertEquals(manifest("2", "512").chunkCount(), 1);
        for (String odd : new String[] {"4294967298", "2.0", "\"2\"", "9".repeat(400), "null"}) {
            assertThrows(IOException.class, () -> manifest(odd, "512"));
        }
        for (String odd : new String[] {"4294967808", "-1", "0", "1e400", "9".repeat(400)}) {
            assertThrows(IOException.class, () -> manifest("2", odd));
        }
    }

    private static Manifest manifest(String version, String chunkBytes) throws IOException {
        String text = MANIFEST.formatted(version, chunkBytes, DIGEST);
        return EngineCodec.decodeManifest(text.getBytes(StandardCharsets.UTF_8), "m", 2);
    }

    private static void assertMalformed(String text) {
        assertThrows(IOException.class, () -> report(text));
    }

    private static EngineReport report(String text) throws IOException {
        return EngineCodec.decodeReport(text.getBytes(StandardCharsets.UTF_8));
    }
}
