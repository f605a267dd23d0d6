package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Answer that a fake server sends in part or whole, and how it ends its connection then. Immutable.
 *
 * @param framing what tells the end of the body
 * @param type media type of the body
 * @param body whole body
 * @param sentBytes number of bytes of the body that are sent
 * @param end how the server ends the connection
 */
public record AnswerScript(Framing framing, String type, String body, int sentBytes, End end)
        implements Script {
    private static final int CHUNK_BYTES = 7;

    /** What tells the end of a body. */
    public enum Framing {
        /** Content-Length. */
        LENGTH,
        /** Chunks; the last one is sent only after the whole body. */
        CHUNKS,
        /** Neither: the end of the connection. */
        NEITHER,
        /** Neither, in HTTP/1.0. */
        HTTP_1_0
    }

    /** How a server ends a connection. */
    public enum End {
        /** Closes it. */
        CLOSE,
        /** Resets it. */
        RESET,
        /** Closes the direction to its peer only, and reads on until the peer closes. */
        HALF_CLOSE
    }

    /**
     * Makes the script of a whole answer.
     *
     * @param framing what tells the end of the body
     * @param type media type of the body
     * @param body body
     * @return script that sends the whole body and closes the connection
     */
    public static AnswerScript whole(Framing framing, String type, String body) {
        return new AnswerScript(framing, type, body, bytes(body).length, End.CLOSE);
    }

    /**
     * Makes the script of an event stream that is cut off.
     *
     * @param framing what tells the end of the body
     * @param body whole body
     * @param sentBytes number of bytes of the body that are sent
     * @param end how the server ends the connection
     * @return script
     */
    public static AnswerScript cutStream(Framing framing, String body, int sentBytes, End end) {
        return new AnswerScript(framing, "text/event-stream", body, sentBytes, end);
    }

    @Override
    public void play(Socket socket, String id, String headers) throws IOException {
        OutputStream out = socket.getOutputStream();
        byte[] whole = bytes(body);
        byte[] sent = Arrays.copyOf(whole, sentBytes);
        String version = framing == Framing.HTTP_1_0 ? "HTTP/1.0" : "HTTP/1.1";
        String head = version + " 200 OK\r\nContent-Type: " + type + "\r\n" + headers;
        switch (framing) {
            case LENGTH -> {
                out.write(bytes(head + "Content-Length: " + whole.length + "\r\n\r\n"));
                out.write(sent);
            }
            case CHUNKS -> {
                out.write(bytes(head + "Transfer-Encoding: chunked\r\n\r\n"));
                writeChunks(out, sent);
                out.write(bytes(sentBytes == whole.length ? "0\r\n\r\n" : ""));
            }
            default -> {
                out.write(bytes(head + "\r\n"));
                out.write(sent);
            }
        }
        out.flush();
        end(socket);
    }

    private void end(Socket socket) throws IOException {
        switch (end) {
            case RESET -> socket.setSoLinger(true, 0);
            case HALF_CLOSE -> {
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            }
            default -> socket.shutdownOutput();
        }
    }

    private static void writeChunks(OutputStream out, byte[] data) throws IOException {
        for (int from = 0; from < data.length; from += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, data.length - from);
            out.write(bytes(Integer.toHexString(length) + "\r\n"));
            out.write(data, from, length);
            out.write(bytes("\r\n"));
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
