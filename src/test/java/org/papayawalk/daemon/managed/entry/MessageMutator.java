package org.papayawalk.daemon.managed.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Applies random changes to captured HTTP messages. The same seed yields the same changes. Not
 * thread-safe.
 */
final class MessageMutator {
    /** Fragments that HTTP parsers are known to interpret differently. */
    private static final List<String> FRAGMENTS =
            List.of(
                    "\n",
                    "\r",
                    "\r\n",
                    "\r\n\r\n",
                    " ",
                    "\t",
                    "\0",
                    ":",
                    ";",
                    ",",
                    "0\r\n\r\n",
                    "ffffffffffffffff\r\n",
                    "-1",
                    "+5",
                    "0x5",
                    "Content-Length: 3\r\n",
                    "Content-Length: 5, 5\r\n",
                    "Content-Length : 5\r\n",
                    "Transfer-Encoding: chunked\r\n",
                    "Transfer-Encoding: identity\r\n",
                    "Transfer-Encoding: xchunked\r\n",
                    "Transfer-Encoding:\u000bchunked\r\n",
                    " folded: yes\r\n",
                    "GET /other HTTP/1.1\r\nHost: b.example\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

    private static final int MAX_CHANGES_PER_MESSAGE = 3;

    private final SplittableRandom random;

    /**
     * Creates a mutator.
     *
     * @param seed seed of the random generator
     */
    MessageMutator(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Changes a message at random.
     *
     * @param message message
     * @return message with 0 to 3 changes
     */
    byte[] mutate(String message) {
        byte[] bytes = message.getBytes(StandardCharsets.ISO_8859_1);
        int changes = random.nextInt(MAX_CHANGES_PER_MESSAGE + 1);
        for (int i = 0; i < changes; i++) {
            bytes = applyChange(bytes);
        }
        return bytes;
    }

    /**
     * Splits bytes into parts of random length.
     *
     * @param bytes bytes
     * @return parts in order, of 1 to 24 bytes each
     */
    List<byte[]> split(byte[] bytes) {
        List<byte[]> parts = new ArrayList<>();
        int from = 0;
        while (from < bytes.length) {
            int to = Math.min(bytes.length, from + 1 + random.nextInt(24));
            parts.add(Arrays.copyOfRange(bytes, from, to));
            from = to;
        }
        return parts;
    }

    // Inserts a fragment, replaces up to three bytes with a fragment or a byte, or deletes them.
    private byte[] applyChange(byte[] bytes) {
        int at = random.nextInt(bytes.length + 1);
        int end = Math.min(bytes.length, at + random.nextInt(4));
        byte[] fragment =
                FRAGMENTS
                        .get(random.nextInt(FRAGMENTS.size()))
                        .getBytes(StandardCharsets.ISO_8859_1);
        return switch (random.nextInt(4)) {
            case 0 -> replaceRange(bytes, at, fragment, at);
            case 1 -> replaceRange(bytes, at, fragment, end);
            case 2 -> replaceRange(bytes, at, new byte[0], end);
            default -> replaceRange(bytes, at, new byte[] {(byte) random.nextInt(256)}, end);
        };
    }

    // Replaces the bytes from start, inclusive, to end, exclusive.
    private static byte[] replaceRange(byte[] bytes, int start, byte[] replacement, int end) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(bytes, 0, start);
        out.writeBytes(replacement);
        out.write(bytes, end, bytes.length - end);
        return out.toByteArray();
    }
}
