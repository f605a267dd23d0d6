package org.papayawalk.daemon.managed;

import java.util.List;

/**
 * One arrival of a request at a stuttering server and the answer that the server gave to it.
 * Immutable.
 *
 * @param attempt what the caller named its sending of the request
 * @param id id of the request
 * @param stamp stamp of the answer, unlike that of any other
 * @param after number of the last event that the sender has; 0 for none
 * @param status status of the answer
 * @param executed whether the request was run
 * @param events events of a stream from the first on; one text for any other body
 * @param earlier number of requests that came on the same connection before
 */
public record StutterRun(
        String attempt,
        String id,
        String stamp,
        int after,
        int status,
        boolean executed,
        List<String> events,
        int earlier) {
    /** Copies the events. */
    public StutterRun {
        events = List.copyOf(events);
    }

    /**
     * Returns the body of the answer.
     *
     * @return body without transfer encoding
     */
    public String body() {
        return String.join("", events);
    }
}
