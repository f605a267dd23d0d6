package org.papayawalk.adapter.standalone;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.papayawalk.core.stream.BodyEnd;
import org.papayawalk.core.stream.EventBoundary;
import org.papayawalk.core.stream.StreamEndRule;

/**
 * Body of an event stream. Its end is a failure if the stream was broken off. Not thread-safe:
 * confined to the reading thread.
 */
final class EventStreamInputStream extends FilterInputStream {
    private final EventBoundary boundary = new EventBoundary();

    private final BodyEnd end;

    /**
     * Creates a stream.
     *
     * @param in body without transfer encoding
     * @param end what tells the end of the body
     */
    EventStreamInputStream(InputStream in, BodyEnd end) {
        super(in);
        this.end = end;
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        int n = read(one, 0, 1);
        return n < 0 ? n : Byte.toUnsignedInt(one[0]);
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        int n = super.read(buffer, offset, length);
        if (n < 0) {
            requireWhole();
        }
        for (int i = 0; i < n; i++) {
            boundary.endsBefore(buffer[offset + i]);
            boundary.endsWith(buffer[offset + i]);
        }
        return n;
    }

    private void requireWhole() throws IOException {
        Optional<String> defect =
                StreamEndRule.defect(end, boundary.isInsideEvent(), boundary.eventSeen());
        if (defect.isPresent()) {
            throw new IOException(defect.get());
        }
    }
}
