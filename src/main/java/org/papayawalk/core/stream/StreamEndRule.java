package org.papayawalk.core.stream;

import java.util.Optional;

/**
 * Decides whether an event stream whose body has ended was broken off by its sender. Stateless;
 * thread-safe.
 */
public final class StreamEndRule {
    private StreamEndRule() {}

    /**
     * Returns why a stream is incomplete although its body has ended.
     *
     * @param end what told the end of the body
     * @param insideEvent whether the body ends inside an event
     * @param eventSeen whether the body has a complete event
     * @return reason, empty if the stream is complete
     */
    public static Optional<String> defect(BodyEnd end, boolean insideEvent, boolean eventSeen) {
        if (insideEvent) {
            return Optional.of("stream ended inside an event, end told by " + end.label());
        }
        if (end == BodyEnd.CONNECTION && !eventSeen) {
            return Optional.of("connection ended before the first event");
        }
        return Optional.empty();
    }
}
