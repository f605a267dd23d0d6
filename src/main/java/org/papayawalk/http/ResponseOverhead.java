package org.papayawalk.http;

import java.util.Optional;

/**
 * Counts the bytes that come in response to one request, and bounds those that are not part of its
 * body: heads, informational (1xx) heads, the framing of chunks, trailers, and skipped responses to
 * other requests. A sender of such bytes without end never completes a response. Not thread-safe:
 * confined to the event loop thread.
 */
public final class ResponseOverhead {
    /** Bound of the bytes besides the body, in bytes. */
    private static final int MAX_FRAMING_BYTES = 64 * 1024;

    /** Framing that is allowed for each byte of the body; a chunk of one byte has 6 or more. */
    private static final int MAX_FRAMING_PER_BODY_BYTE = 16;

    /** Bound of the bodies of skipped responses, in bytes. */
    private static final int MAX_SKIPPED_BYTES = 1024 * 1024;

    private long receivedBytes;

    private long bodyBytes;

    private long skippedBytes;

    /** Starts to count for the next request. */
    public void reset() {
        receivedBytes = 0;
        bodyBytes = 0;
        skippedBytes = 0;
    }

    /**
     * Counts bytes as they come from the network.
     *
     * @param bytes number of bytes
     */
    public void received(int bytes) {
        receivedBytes += bytes;
    }

    /**
     * Counts bytes of the body of the response.
     *
     * @param bytes number of bytes
     */
    public void body(int bytes) {
        bodyBytes += bytes;
    }

    /**
     * Counts bytes of the body of a skipped response.
     *
     * @param bytes number of bytes
     */
    public void skipped(int bytes) {
        skippedBytes += bytes;
    }

    /**
     * Returns the bound that is exceeded.
     *
     * @return description for the log, empty if all bounds are kept
     */
    public Optional<String> violation() {
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            return Optional.of(
                    "responses to other requests are longer than " + MAX_SKIPPED_BYTES + " bytes");
        }
        long framing = receivedBytes - bodyBytes - skippedBytes;
        long allowed = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * (bodyBytes + skippedBytes);
        if (framing > allowed) {
            return Optional.of(
                    "response has " + framing + " bytes of framing, allowed are " + allowed);
        }
        return Optional.empty();
    }
}
