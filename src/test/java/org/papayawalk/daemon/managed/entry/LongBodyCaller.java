package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Caller that sends a long body in parts. Confined to one thread. */
final class LongBodyCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket socket;

    /**
     * Opens a connection and sends the head of a request.
     *
     * @param caller caller of the entry
     * @param id id of the request
     * @param length length of the body in bytes
     * @throws IOException if the entry does not listen
     */
    LongBodyCaller(TestCaller caller, String id, int length) throws IOException {
        socket = caller.connect();
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        String head =
                "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\n"
                        + "X-Credential: key-1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n";
        write(head.formatted(id, length).getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Sends part of the body.
     *
     * @param bytes number of bytes
     * @throws IOException if the connection is lost
     */
    void send(int bytes) throws IOException {
        byte[] part = new byte[bytes];
        Arrays.fill(part, (byte) 'x');
        write(part);
    }

    /**
     * Reads the answer.
     *
     * @return response
     * @throws IOException if the connection is lost
     */
    TestCaller.Response read() throws IOException {
        return TestCaller.read(socket);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }
}
