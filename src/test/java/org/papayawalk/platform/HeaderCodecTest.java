package org.papayawalk.platform;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.papayawalk.core.call.ReportedLoad;
import org.papayawalk.core.id.PromptPartId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Decodes what servers state, in the forms in which decimal numbers are written, and the parts of
 * prompts that callers state.
 */
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
     * Returns texts of the header with the loads that they state.
     *
     * @return rows of text, requests running and waiting, and pace; -1 if the text states none
     */
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"3,0,8", 3, 0, 100},
            {" 3 , 1 , 8 ", 3, 1, 100},
            {"3,0,8,250", 3, 0, 250},
            {"3,0,8, 99.6 ", 3, 0, 100},
            {"3,0,8,250,7,x", 3, 0, 250},
            {"3,0,8,", 3, 0, 100},
            {"3,0,8,0", 3, 0, 100},
            {"3,0,8,-5", 3, 0, 100},
            {"3,0,8,99999999999", 3, 0, 100},
            {"3,0,8,NaN", 3, 0, 100},
            {"3,0,8;250", -1, -1, -1},
            {"3,0", -1, -1, -1},
            {"3,,8,100", -1, -1, -1},
            {"-3,0,8", -1, -1, -1},
            {"3,0,9999999999", -1, -1, -1},
            {"", -1, -1, -1},
        };
    }

    /**
     * Decodes a load report; what is odd behind the first three figures counts as not stated.
     *
     * @param text text of the header
     * @param running requests running, -1 if the text is no load report
     * @param waiting requests waiting
     * @param pace pace in percent
     */
    @Test(dataProvider = "loads")
    public void loadIsDecoded(String text, int running, int waiting, int pace) {
        Optional<ReportedLoad> load =
                HeaderCodec.responseMetadata(
                                new DefaultHttpHeaders(false).set("X-Server-Load", text))
                        .load();
        assertEquals(
                load,
                running < 0
                        ? Optional.empty()
                        : Optional.of(new ReportedLoad(running, waiting, 8, pace)));
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

    /**
     * Returns lines of the header that lists the parts of a prompt, with the parts that other
     * requests may share.
     *
     * @return rows of lines and ids
     */
    @DataProvider
    public Object[][] promptParts() {
        String longest = "a".repeat(64);
        return new Object[][] {
            {List.of(), List.of()},
            {List.of(""), List.of()},
            {List.of("5c1e07a2:800"), List.of()},
            {List.of("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), List.of("5c1e07a2", "91bd3f06")},
            {List.of("b:1,A0:2,c:3"), List.of("b", "A0")},
            {List.of("a:1,b:2,a:1,c:3"), List.of("a", "b")},
            {List.of(" a:1 ,\tb:2 , c:3 "), List.of("a", "b")},
            {List.of("a:1,b:2,"), List.of("a")},
            {List.of(",,a:1,,b:2"), List.of("a")},
            {List.of("a:1,b:2", "c:3,d:4"), List.of("a", "b", "c")},
            {List.of("a:1", "b:2"), List.of("a")},
            {List.of("a:1", ""), List.of()},
            {List.of("a,b:,:3,d:-4,e:x,f:1:2,g:1,a b:1,c :1,c: 1,d:1,e:1"), List.of("d")},
            {List.of("a:1,b:9999999999,c:1"), List.of("a")},
            {List.of("a:1,?"), List.of("a")},
            {List.of(longest + ":1,b" + longest + ":1,c:1"), List.of(longest)},
        };
    }

    /**
     * Decodes the parts of a prompt.
     *
     * @param lines lines of the header
     * @param ids ids of the parts that other requests may share
     */
    @Test(dataProvider = "promptParts")
    public void promptPartsAreDecoded(List<String> lines, List<String> ids) {
        assertEquals(decodedParts(lines), ids);
    }

    /** Of a very long list the first parts are decoded. */
    @Test
    public void promptPartsAreBounded() {
        List<String> hundred = IntStream.range(100, 200).mapToObj(Integer::toString).toList();
        assertEquals(decodedParts(List.of(header(hundred))), hundred.subList(0, 32));
        List<String> exact = hundred.subList(0, 33);
        assertEquals(decodedParts(List.of(header(exact))), hundred.subList(0, 32));
    }

    // Returns the header for the parts of a prompt.
    private static String header(List<String> ids) {
        return ids.stream().map(i -> i + ":10").collect(Collectors.joining(","));
    }

    private static List<String> decodedParts(List<String> lines) {
        return HeaderCodec.requestMetadata(
                        new DefaultHttpHeaders(false).set("X-Prompt-Prefix", lines))
                .promptParts()
                .stream()
                .map(PromptPartId::value)
                .toList();
    }
}
