package org.papayawalk.daemon.managed;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.papayawalk.daemon.managed.Stutter.Answer;
import org.papayawalk.daemon.managed.Stutter.Headers;

/**
 * Bytes of an answer of a stuttering server, one character for each byte. Immutable.
 *
 * @param run what was answered
 * @param start status line, headers and the first event or body
 * @param rest what follows
 * @param keepsConnection whether the connection is kept
 */
record StutterAnswer(StutterRun run, String start, String rest, boolean keepsConnection) {
    private static final int OK = 200;

    private static final int ERROR = 500;

    private static final int REFUSED = 503;

    /**
     * Formats the answer to a request.
     *
     * @param request request
     * @param stutter answer to give
     * @param stamp stamp of the answer
     * @param earlier number of requests that came on the same connection before
     * @return answer
     */
    static StutterAnswer to(FakeUpstream.Seen request, Stutter stutter, String stamp, int earlier) {
        boolean head = request.line().startsWith("HEAD ");
        Answer answer = stutter.answer();
        boolean stream = !head && (answer == Answer.STREAM || answer == Answer.UNFRAMED_STREAM);
        int status = status(answer);
        int after = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        String attempt = request.headers().getOrDefault("attempt", "");
        String id = request.headers().getOrDefault("x-request-id", "");
        List<String> events =
                stream
                        ? events(attempt, stamp, after, stutter.eventBytes())
                        : List.of("%d for %s by %s".formatted(status, attempt, stamp));
        StutterRun run =
                new StutterRun(
                        attempt,
                        id,
                        stamp,
                        stream ? after : 0,
                        status,
                        !stutter.refuses(),
                        head ? List.of() : events,
                        earlier);
        String framing = framing(stream, answer, events.get(0).length());
        String lines =
                "HTTP/1.1 %d Some reason\r\n".formatted(status)
                        + headers(stutter, id, stamp, status)
                        + framing
                        + "\r\n";
        if (!stream) {
            return new StutterAnswer(run, lines + (head ? "" : run.body()), "", true);
        }
        if (answer == Answer.UNFRAMED_STREAM) {
            String rest = String.join("", events.subList(1, events.size()));
            return new StutterAnswer(run, lines + events.get(0), rest, false);
        }
        StringBuilder rest = new StringBuilder();
        events.stream().skip(1).forEach(e -> rest.append(chunk(e)));
        return new StutterAnswer(
                run, lines + chunk(events.get(0)), rest.append("0\r\n\r\n").toString(), true);
    }

    /**
     * Returns all bytes.
     *
     * @return text
     */
    String text() {
        return start + rest;
    }

    private static int status(Answer answer) {
        return switch (answer) {
            case ERROR -> ERROR;
            case BARE_REFUSAL, REFUSAL -> REFUSED;
            default -> OK;
        };
    }

    private static String headers(Stutter stutter, String id, String stamp, int status) {
        String idLine = "X-Request-Id: " + id + "\r\n";
        String stampLine = "X-Server-Stamp: " + stamp + "\r\n";
        String refusal = stutter.refuses() ? "X-Not-Executed: 1\r\n" : "";
        boolean noId = stutter.headers() == Headers.NO_ID && status != OK;
        if (stutter.headers() == Headers.ID_LAST) {
            return refusal + stampLine + idLine;
        }
        return (noId ? "" : idLine) + refusal + stampLine;
    }

    private static String framing(boolean stream, Answer answer, int length) {
        if (!stream) {
            return "Content-Type: text/plain\r\nContent-Length: " + length + "\r\n";
        }
        return "Content-Type: text/event-stream\r\n"
                + (answer == Answer.STREAM ? "Transfer-Encoding: chunked\r\n" : "");
    }

    // At least the last event is sent, also to a sender that has them all.
    private static List<String> events(String attempt, String stamp, int after, int bytes) {
        List<String> events = new ArrayList<>();
        for (int i = Math.min(after + 1, FakeUpstream.EVENTS); i <= FakeUpstream.EVENTS; i++) {
            String data = "id: %d\ndata: %s by %s ".formatted(i, attempt, stamp);
            events.add(data + "x".repeat(Math.max(0, bytes - data.length())) + "\n\n");
        }
        return events;
    }

    private static String chunk(String data) {
        return Integer.toHexString(data.length()).toUpperCase(Locale.ROOT) + "\r\n" + data + "\r\n";
    }
}
