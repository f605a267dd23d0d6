package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Writes answers byte by byte with pauses. Stateless; thread-safe. */
final class SlowWriter {
    /** Pause between the bytes of a whole answer; it takes less than 1 s. */
    private static final long PAUSE_MILLIS = 6;

    /** Time over which a body is sent. */
    private static final long BODY_MILLIS = 2700;

    private SlowWriter() {}

    /**
     * Writes an answer whose bytes come slowly from the first on.
     *
     * @param out connection
     * @param answer answer
     * @throws IOException if the connection is lost
     */
    static void writeSlowly(OutputStream out, String answer) throws IOException {
        write(out, answer, PAUSE_MILLIS);
    }

    /**
     * Writes the head of an answer at once and its body slowly.
     *
     * @param out connection
     * @param answer answer
     * @param bodyLength length of its body, in bytes
     * @throws IOException if the connection is lost
     */
    static void writeSlowBody(OutputStream out, String answer, int bodyLength) throws IOException {
        int headLength = answer.length() - bodyLength;
        out.write(answer.substring(0, headLength).getBytes(StandardCharsets.UTF_8));
        write(out, answer.substring(headLength), BODY_MILLIS / bodyLength);
    }

    // Each byte has a time of its own, so that the delays of a busy machine do not add up.
    private static void write(OutputStream out, String text, long pauseMillis) throws IOException {
        long startNanos = System.nanoTime();
        long pauseNanos = TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        int count = 0;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            out.write(b);
            out.flush();
            count++;
            sleep(startNanos + count * pauseNanos - System.nanoTime());
        }
    }

    private static void sleep(long nanos) throws IOException {
        try {
            TimeUnit.NANOSECONDS.sleep(nanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
