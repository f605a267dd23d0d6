package org.papayawalk.daemon.managed;

/** Formats the responses of a fake server. Stateless and thread-safe. */
final class ResponseText {
    private ResponseText() {}

    /**
     * Formats a response with a length.
     *
     * @param status status code
     * @param headers lines of further headers
     * @param body body
     * @return text of the response
     */
    static String response(int status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + headers
                + "\r\n"
                + body;
    }

    /**
     * Formats a stream without its last chunk.
     *
     * @param headers lines of further headers
     * @param after number of the event before the first one
     * @param upTo number of the last event
     * @return text of the response
     */
    static String stream(String headers, int after, int upTo) {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\n");
        text.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        text.append(headers).append("\r\n");
        for (int i = after + 1; i <= upTo; i++) {
            String event = "id: " + i + "\ndata: part " + i + "\n\n";
            text.append(Integer.toHexString(event.length())).append("\r\n").append(event);
            text.append("\r\n");
        }
        return text.toString();
    }
}
