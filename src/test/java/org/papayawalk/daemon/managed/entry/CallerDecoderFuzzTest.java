package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.io.ChunkedInputStream;
import org.apache.hc.core5.http.impl.io.ContentLengthInputStream;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.papayawalk.core.limit.HeaderLines;
import org.testng.annotations.Test;

/**
 * Decodes mutated requests of callers. The result must not depend on how the bytes are split across
 * reads, and it must agree with a reference parser wherever both accept a request. A disagreement
 * would allow request smuggling.
 */
public final class CallerDecoderFuzzTest {
    private static final long SEED = 20261204;

    private static final int MESSAGES = 30_000;

    /** Limit on the header section and on lines. */
    private static final int MAX_HEAD_BYTES = 2048;

    /** Length that the reference parser reports for a chunked body. */
    private static final long CHUNKED = -1;

    /** Valid requests to mutate. */
    private static final List<String> CAPTURES =
            List.of(
                    "POST /pay/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n"
                            + "Content-Length: 5\r\n\r\nhello",
                    "POST /pay/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + "5\r\nhello\r\n3;x=y\r\nyou\r\n0\r\n\r\n",
                    "GET /read/x?q=1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r2\r\n\r\n",
                    "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n\r\nok"
                            + "GET /b HTTP/1.1\r\nHost: s\r\n\r\n");

    // Decoded request.
    private record Read(String method, String target, String body) {}

    /** The decoder reads the same requests however the bytes are split. */
    @Test
    public void resultIsIndependentOfSplitting() {
        MessageMutator mutator = new MessageMutator(SEED);
        for (int i = 0; i < MESSAGES; i++) {
            byte[] bytes = mutator.mutate(CAPTURES.get(i % CAPTURES.size()));
            List<Read> unsplit = read(List.of(bytes));
            assertEquals(read(mutator.split(bytes)), unsplit, printable(bytes));
        }
    }

    /** If the reference parser accepts the first request, it reads the same one as the decoder. */
    @Test
    public void referenceParserAgrees() {
        MessageMutator mutator = new MessageMutator(SEED + 1);
        int both = 0;
        for (int i = 0; i < MESSAGES; i++) {
            byte[] bytes = mutator.mutate(CAPTURES.get(i % CAPTURES.size()));
            List<Read> actual = read(List.of(bytes));
            Optional<Read> reference = referenceParse(bytes);
            if (!actual.isEmpty() && reference.isPresent()) {
                assertEquals(actual.get(0), reference.get(), printable(bytes));
                both++;
            }
        }
        assertTrue(
                both > MESSAGES / 4,
                both + " of " + MESSAGES + " requests were accepted by both parsers");
    }

    /** A line that ends with a line feed without a carriage return is rejected. */
    @Test
    public void bareLineFeedIsNotAccepted() {
        String request = CAPTURES.get(0).replace("\r\nX-Request-Id", "\nX-Request-Id");
        assertTrue(read(List.of(request.getBytes(StandardCharsets.ISO_8859_1))).isEmpty());
    }

    // Returns the requests that the decoder completes before the first error.
    private static List<Read> read(List<byte[]> parts) {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new CallerDecoder(
                                () -> MAX_HEAD_BYTES,
                                new ConnectionHeads(new HeaderLines(Integer.MAX_VALUE))));
        parts.forEach(p -> channel.writeInbound(Unpooled.wrappedBuffer(p)));
        List<Read> requests = new ArrayList<>();
        HttpRequest head = null;
        StringBuilder body = new StringBuilder();
        boolean failed = false;
        for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
            failed |= ((HttpObject) o).decoderResult().isFailure();
            if (!failed && o instanceof HttpRequest request) {
                head = request;
                body.setLength(0);
            }
            if (!failed && o instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (!failed && o instanceof LastHttpContent && head != null) {
                requests.add(new Read(head.method().name(), head.uri(), body.toString()));
                head = null;
            }
            ReferenceCountUtil.release(o);
        }
        channel.finishAndReleaseAll();
        return requests;
    }

    // Parses the first request with HttpCore. Returns empty if HttpCore rejects it.
    private static Optional<Read> referenceParse(byte[] bytes) {
        InputStream in = new ByteArrayInputStream(bytes);
        SessionInputBufferImpl buffer = new SessionInputBufferImpl(MAX_HEAD_BYTES);
        try {
            ClassicHttpRequest request = new DefaultHttpRequestParser().parse(buffer, in);
            if (request == null) {
                return Optional.empty();
            }
            long length = DefaultContentLengthStrategy.INSTANCE.determineLength(request);
            byte[] body = new byte[0];
            if (length == CHUNKED) {
                body = new ChunkedInputStream(buffer, in).readAllBytes();
            } else if (length > 0) {
                body = new ContentLengthInputStream(buffer, in, length).readAllBytes();
            }
            return Optional.of(
                    new Read(
                            request.getMethod(),
                            target(bytes),
                            new String(body, StandardCharsets.ISO_8859_1)));
        } catch (IOException | HttpException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    // Returns the second word of the first line that is not empty. HttpCore normalizes slashes in
    // the target that it returns.
    private static String target(byte[] bytes) {
        String first = new String(bytes, StandardCharsets.ISO_8859_1).stripLeading();
        String[] words = first.substring(0, (first + "\n").indexOf('\n')).split("[ \\t]+");
        return words.length > 1 ? words[1] : "";
    }

    // Formats bytes for a failure message, with visible line ends.
    private static String printable(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1)
                .replace("\r", "\\r")
                .replace("\n", "\\n\n");
    }
}
