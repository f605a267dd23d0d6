package org.papayawalk.adapter.standalone;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;

/**
 * Bytes of a connection while chunks are read. The end of the connection is a failure then; the
 * HTTP library takes an unfinished line, which may state a size of 0, for a whole one. Not
 * thread-safe: confined to the reading thread.
 */
final class PrematureEndInputStream extends FilterInputStream {

    /**
     * Creates a stream.
     *
     * @param in bytes of the connection
     */
    PrematureEndInputStream(InputStream in) {
        super(in);
    }

    @Override
    public int read() throws IOException {
        return requireByte(super.read());
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        return requireByte(super.read(buffer, offset, length));
    }

    private static int requireByte(int result) throws ConnectionClosedException {
        if (result < 0) {
            throw new ConnectionClosedException("connection ended inside chunks");
        }
        return result;
    }
}
