package org.papayawalk.platform;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.OptionalDouble;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decodes the limit that a server states, in the forms in which decimal numbers are written. */
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
}
