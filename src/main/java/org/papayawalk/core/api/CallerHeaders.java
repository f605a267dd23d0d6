package org.papayawalk.core.api;

/** Names of the HTTP headers in requests of callers and in answers to them. */
public final class CallerHeaders {
    /** Request header: team that sends the request. */
    public static final String TEAM = "X-Papayawalk-Team";

    /** Request header: priority, one of {@code high}, {@code normal} and {@code low}. */
    public static final String PRIORITY = "X-Papayawalk-Priority";

    /** Request header: time that the caller waits for an answer, in milliseconds. */
    public static final String DEADLINE = "X-Papayawalk-Deadline-Millis";

    /** Response header: label of the {@link org.papayawalk.core.Outcome} of the request. */
    public static final String OUTCOME = "X-Papayawalk-Outcome";

    /** Response header: host whose upstream answered. */
    public static final String HOST = "X-Papayawalk-Host";

    /** Request header: idempotency key of a non-idempotent call. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Response header: {@code true} if the answer was stored for an earlier request. */
    public static final String REPLAYED = "X-Papayawalk-Replayed";

    /** Response header: time before the caller should retry, in whole seconds. */
    public static final String RETRY_AFTER = "Retry-After";

    /** Response header: time before the caller should retry, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "Retry-After-Ms";

    /** Response header: digest of the manifest whose weights produced the answer. */
    public static final String MODEL_DIGEST = "X-Model-Digest";

    /** Request header to engines: number of events to skip when a stream is resumed. */
    public static final String RESUME_FROM = "X-Resume-From";

    private CallerHeaders() {}
}
