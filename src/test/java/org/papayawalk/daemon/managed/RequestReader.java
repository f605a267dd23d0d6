package org.papayawalk.daemon.managed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads the requests that a fake server receives. Stateless and thread-safe. */
final class RequestReader {
    private RequestReader() {}

    /**
     * Reads a request.
     *
     * @param in bytes of a connection
     * @return request, null at the end of the connection
     * @throws IOException if the connection is lost
     */
    static FakeUpstream.Seen read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
            int colon = h.indexOf(':');
            String name = h.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, h.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new FakeUpstream.Seen(
                line, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    // Returns a line without its end, null at the end of the connection.
    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }
}
