package org.papayawalk.daemon.managed.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Spoils captured messages by chance. The same seed spoils them in the same way. Not thread-safe.
 */
final class MessageMutator {
    /** Pieces of text that readers of HTTP have been known to read in two ways. */
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

    /** Changes of one message at the most. */
    private static final int MAX_CHANGES_PER_MESSAGE = 3;

    /** Source of chance. */
    private final SplittableRandom random;

    /**
     * Creates the source of spoilt messages.
     *
     * @param seed seed of chance
     */
    MessageMutator(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Spoils a message.
     *
     * @param message message
     * @return message with up to three changes
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
     * Cuts bytes into parts.
     *
     * @param bytes bytes
     * @return parts in order, none of them empty
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

    /**
     * Changes bytes in one place.
     *
     * @param bytes bytes
     * @return changed copy
     */
    private byte[] applyChange(byte[] bytes) {
        int at = random.nextInt(bytes.length + 1);
        int end = Math.min(bytes.length, at + random.nextInt(4));
        byte[] trick =
                FRAGMENTS
                        .get(random.nextInt(FRAGMENTS.size()))
                        .getBytes(StandardCharsets.ISO_8859_1);
        return switch (random.nextInt(4)) {
            case 0 -> replaceRange(bytes, at, trick, at);
            case 1 -> replaceRange(bytes, at, trick, end);
            case 2 -> replaceRange(bytes, at, new byte[0], end);
            default -> replaceRange(bytes, at, new byte[] {(byte) random.nextInt(256)}, end);
        };
    }

    /**
     * Joins the beginning of bytes, other bytes and the rest.
     *
     * @param bytes bytes
     * @param until end of the beginning
     * @param middle other bytes
     * @param from begin of the rest
     * @return joined bytes
     */
    private static byte[] replaceRange(byte[] bytes, int until, byte[] middle, int from) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(bytes, 0, until);
        out.writeBytes(middle);
        out.write(bytes, from, bytes.length - from);
        return out.toByteArray();
    }
}
