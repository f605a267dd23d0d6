package org.papayawalk.platform;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decodes what servers state, in the forms in which decimal numbers are written. */
public final class HeaderCodecTest {

    /**
     * Returns texts of the header with the limits that they state.
     *
     * @return rows of text and limit, negative if the text states none
     */
    @DataProvider
    public Object[][] limits() {
        return new Object[][] {
            {"1", 1},
            {" 1.6 ", 1.6},
            {"0", 0},
            {".5", 0.5},
            {"1.3333333333333333", 1.3333333333333333},
            {"5e-05", 0.00005},
            {"", -1},
            {"-1", -1},
            {"1,6", -1},
            {"NaN", -1},
            {"many", -1},
        };
    }

    /**
     * Decodes a limit.
     *
     * @param text text of the header
     * @param perSecond limit, negative if the text states none
     */
    @Test(dataProvider = "limits")
    public void limitIsDecoded(String text, double perSecond) {
        OptionalDouble limit =
                HeaderCodec.responseMetadata(
                                new DefaultHttpHeaders(false).set("Server-Limit", text))
                        .limitPerSecond();
        assertEquals(limit.orElse(-1), perSecond);
    }

    /**
     * Returns texts of the header with the delays that they state.
     *
     * @return rows of text and milliseconds, negative if the text states none
     */
    @DataProvider
    public Object[][] delays() {
        long maxMillis = Duration.ofDays(365).toMillis();
        return new Object[][] {
            {"2", 2000},
            {" 0.25", 250},
            {"0", 0},
            {"1e99", maxMillis},
            {"99999999999999999999", maxMillis},
            {"-1", -1},
            {"soon", -1},
            {"Fri, 04 Dec 2026 10:00:00 GMT", -1},
        };
    }

    /**
     * Decodes a delay.
     *
     * @param text text of the header
     * @param millis delay in milliseconds, negative if the text states none
     */
    @Test(dataProvider = "delays")
    public void delayIsDecoded(String text, long millis) {
        Optional<Duration> delay =
                HeaderCodec.responseMetadata(new DefaultHttpHeaders(false).set("Retry-After", text))
                        .retryAfter();
        assertEquals(delay.map(Duration::toMillis).orElse(-1L), Long.valueOf(millis));
    }
}
