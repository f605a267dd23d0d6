package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * What a caller can make an entry hold besides bodies and very many header lines. Heads have a
 * legal size and a usual number of lines. Thread-safe.
 */
enum UncountedShape implements CrowdScript {
    /** Heads of few long lines that stop before their end. */
    LONG_LINES {
        @Override
        public void send(OutputStream out) throws IOException {
            out.write(bytes(START + LINE.repeat(LONG_LINES_OF_HEAD)));
        }
    },
    /** Heads with one line that does not end. */
    LINE_WITHOUT_END {
        @Override
        public void send(OutputStream out) throws IOException {
            out.write(bytes(START + "a: " + "x".repeat(HEAD_BYTES)));
        }
    },
    /** Such a line that comes in small pieces. */
    PIECES_OF_LINE {
        @Override
        public void send(OutputStream out) throws IOException {
            out.write(bytes(START + "a: "));
            for (int sent = 0; sent < HEAD_BYTES; sent += PIECE_BYTES) {
                out.write(bytes("x".repeat(PIECE_BYTES)));
                out.flush();
            }
        }
    },
    /** Complete heads of few long lines behind a request that an upstream does not answer. */
    PIPELINED_LONG_LINES {
        @Override
        public void send(OutputStream out) throws IOException {
            String head = START + LINE.repeat(LONG_LINES_OF_HEAD) + "\r\n";
            for (int i = 0; i < PIPELINED; i++) {
                out.write(bytes(head));
            }
        }
    },
    /** First bytes of a request behind others that were refused and came at once. */
    REST_OF_LARGE_READ {
        @Override
        public void send(OutputStream out) throws IOException {
            String refused = REFUSED + LINE.repeat(LONG_LINES_OF_HEAD) + "\r\n";
            out.write(bytes(refused.repeat(REFUSED_AT_ONCE) + "POST /order/x HT"));
        }
    },
    /** Very many short requests that are refused, and whose answers nobody reads. */
    UNREAD_REFUSALS {
        @Override
        public void send(OutputStream out) throws IOException {
            byte[] requests = bytes((REFUSED + "\r\n").repeat(UNREAD_AT_ONCE));
            for (int sent = 0; sent < UNREAD; sent += UNREAD_AT_ONCE) {
                out.write(requests);
            }
        }
    },
    /** Chunks of one byte, very many on each connection. */
    SMALL_CHUNKS_OF_LONG_BODIES {
        @Override
        public void send(OutputStream out) throws IOException {
            out.write(bytes(START + "Transfer-Encoding: chunked\r\n\r\n"));
            byte[] chunks = bytes("1\r\nx\r\n".repeat(SMALL_CHUNKS_AT_ONCE));
            for (int sent = 0; sent < SMALL_CHUNKS; sent += SMALL_CHUNKS_AT_ONCE) {
                out.write(chunks);
            }
        }
    },
    /** One request with a long line, which is refused; then the connection stays open. */
    IDLE_AFTER_LONG_LINE {
        @Override
        public void send(OutputStream out) throws IOException {
            out.write(bytes(REFUSED + "a: " + "x".repeat(HEAD_BYTES) + "\r\n\r\n"));
        }
    },
    /** One request that is refused; then the connection stays open. */
    IDLE_AFTER_REFUSAL {
        @Override
        public void send(OutputStream out) throws IOException {
            out.write(bytes(REFUSED + "\r\n"));
        }
    };

    private static final int HEAD_BYTES = 15_600;

    private static final int PIECE_BYTES = 120;

    private static final int LONG_LINES_OF_HEAD = 26;

    private static final int PIPELINED = 40;

    private static final int REFUSED_AT_ONCE = 20;

    private static final int UNREAD = 100_000;

    private static final int UNREAD_AT_ONCE = 500;

    private static final int SMALL_CHUNKS = 400_000;

    private static final int SMALL_CHUNKS_AT_ONCE = 1_000;

    private static final String LINE = "a: " + "x".repeat(595) + "\r\n";

    private static final String START =
            "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Credential: key-1\r\n";

    private static final String REFUSED = "GET /none HTTP/1.1\r\nHost: shop.example\r\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
