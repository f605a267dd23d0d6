package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against refusals of proper requests that no upstream vouches for: redirections and client
 * errors that do not carry the stamp of an upstream.
 */
public final class UnstampedRefusalTest extends UpstreamFaultCase {
    private static final String STAMP = "X-Server-Stamp: code\r\n";

    /**
     * Returns the statuses by which an upstream can call a request wrong.
     *
     * @return rows of one status
     */
    @DataProvider
    public Object[][] statuses() {
        return IntStream.of(300, 301, 302, 304, 307, 400, 401, 403, 404, 409, 413, 422, 431, 499)
                .mapToObj(s -> new Object[] {s})
                .toArray(Object[][]::new);
    }

    /**
     * A request that may be repeated is answered by the next upstream.
     *
     * @param status status of the first answer
     */
    @Test(dataProvider = "statuses")
    public void repeatableRequestIsNotRefusedWithoutStamp(int status) {
        play(status, "", 1, Mode.WHOLE);
        TestCaller.Response response = send("/read/x");
        assertEquals(response.status(), 200);
        assertTrue(response.body().startsWith("answer to"), response.body());
        checks().reset();
        play(status, "", 1, Mode.STREAM);
        TestCaller.Response stream = send("/advice/x");
        assertEquals(stream.status(), 200);
        assertTrue(stream.complete(), stream.body());
    }

    /**
     * A request that may run once ends with a status that promises nothing.
     *
     * @param status status of the answer
     */
    @Test(dataProvider = "statuses")
    public void nonIdempotentRequestIsNotRefusedWithoutStamp(int status) {
        play(status, "", 2, Mode.WHOLE);
        assertEquals(send("/pay/x").status(), 502);
        assertEquals(checks().seenCount(), 1);
    }

    /**
     * The refusal of an upstream reaches the caller as it is.
     *
     * @param status status of the answer
     */
    @Test(dataProvider = "statuses")
    public void stampedRefusalIsPassedOn(int status) {
        for (String target : new String[] {"/read/x", "/pay/x", "/advice/x"}) {
            checks().reset();
            play(status, STAMP, 2, Mode.WHOLE);
            TestCaller.Response response = send(target);
            assertEquals(response.status(), status, target);
            assertTrue(response.head().contains("code"), response.head());
            assertEquals(checks().seenCount(), 1);
        }
    }

    private TestCaller.Response send(String target) {
        String method = target.startsWith("/read/") ? "GET" : "POST";
        return checks().fixture().caller().send(method, target, "key-1");
    }

    private void play(int status, String stamp, int answers, Mode then) {
        Script refusal =
                (socket, id, headers) ->
                        socket.getOutputStream()
                                .write(
                                        "HTTP/1.1 %d No\r\nX-Request-Id: %s\r\n%s%s"
                                                .formatted(status, id, stamp, body(status))
                                                .getBytes(StandardCharsets.ISO_8859_1));
        AtomicInteger left = new AtomicInteger(answers);
        for (FakeUpstream u :
                new FakeUpstream[] {checks().fixture().first(), checks().fixture().second()}) {
            u.script(refusal, left, then);
        }
    }

    // A 304 has no body.
    private static String body(int status) {
        return status == 304 ? "\r\n" : "Content-Length: 2\r\n\r\nno";
    }
}
