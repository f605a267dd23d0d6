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
import org.testng.annotations.Test;

/**
 * Sends spoilt requests of callers through the decoder. It must not depend on how the bytes are
 * cut, and where another reader also accepts a request, both must read the same one.
 */
public final class CallerDecoderFuzzTest {
    /** Seed of all messages. */
    private static final long SEED = 20261204;

    /** Messages. */
    private static final int MESSAGES = 30_000;

    /** Limit on heads and lines. */
    private static final int MAX_HEAD_BYTES = 2048;

    /** Body length that stands for chunks. */
    private static final long CHUNKED = -1;

    /** Captured requests. */
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

    /**
     * Request as a reader understood it. Immutable.
     *
     * @param method method
     * @param target path and query
     * @param body body
     */
    private record Read(String method, String target, String body) {}

    /** However the bytes are cut, the same requests are read. */
    @Test
    public void resultIsIndependentOfSplitting() {
        MessageMutator mutations = new MessageMutator(SEED);
        for (int i = 0; i < MESSAGES; i++) {
            byte[] bytes = mutations.mutate(CAPTURES.get(i % CAPTURES.size()));
            List<Read> whole = read(List.of(bytes));
            assertEquals(read(mutations.split(bytes)), whole, printable(bytes));
        }
    }

    /** Another reader that accepts the first request reads the same one. */
    @Test
    public void referenceParserAgrees() {
        MessageMutator mutations = new MessageMutator(SEED + 1);
        int both = 0;
        for (int i = 0; i < MESSAGES; i++) {
            byte[] bytes = mutations.mutate(CAPTURES.get(i % CAPTURES.size()));
            List<Read> ours = read(List.of(bytes));
            Optional<Read> other = referenceParse(bytes);
            if (!ours.isEmpty() && other.isPresent()) {
                assertEquals(ours.get(0), other.get(), printable(bytes));
                both++;
            }
        }
        assertTrue(both > MESSAGES / 4, both + " requests were read by both");
    }

    /** A line that ends without its carriage return is not accepted. */
    @Test
    public void bareLineFeedIsNotAccepted() {
        String request = CAPTURES.get(0).replace("\r\nX-Request-Id", "\nX-Request-Id");
        assertTrue(read(List.of(request.getBytes(StandardCharsets.ISO_8859_1))).isEmpty());
    }

    /**
     * Reads requests as an entry does.
     *
     * @param parts bytes as they come
     * @return requests read to their end before anything was wrong
     */
    private static List<Read> read(List<byte[]> parts) {
        EmbeddedChannel channel =
                new EmbeddedChannel(new CallerDecoder(CallerDecoder.config(MAX_HEAD_BYTES)));
        parts.forEach(p -> channel.writeInbound(Unpooled.wrappedBuffer(p)));
        List<Read> requests = new ArrayList<>();
        HttpRequest head = null;
        StringBuilder body = new StringBuilder();
        boolean wrong = false;
        for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
            wrong |= ((HttpObject) o).decoderResult().isFailure();
            if (!wrong && o instanceof HttpRequest request) {
                head = request;
                body.setLength(0);
            }
            if (!wrong && o instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (!wrong && o instanceof LastHttpContent && head != null) {
                requests.add(new Read(head.method().name(), head.uri(), body.toString()));
                head = null;
            }
            ReferenceCountUtil.release(o);
        }
        channel.finishAndReleaseAll();
        return requests;
    }

    /**
     * Reads the first request with another library.
     *
     * @param bytes bytes
     * @return request, empty if the library does not accept it
     */
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

    /**
     * Returns the second word of the first line that is not empty. The library changes slashes.
     *
     * @param bytes bytes of a request that the library accepted
     * @return path and query
     */
    private static String target(byte[] bytes) {
        String first = new String(bytes, StandardCharsets.ISO_8859_1).stripLeading();
        String[] words = first.substring(0, (first + "\n").indexOf('\n')).split("[ \\t]+");
        return words.length > 1 ? words[1] : "";
    }

    /**
     * Writes bytes for a report.
     *
     * @param bytes bytes
     * @return text with visible line ends
     */
    private static String printable(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1)
                .replace("\r", "\\r")
                .replace("\n", "\\n\n");
    }
}
