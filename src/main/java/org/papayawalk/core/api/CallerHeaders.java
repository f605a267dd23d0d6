package org.papayawalk.core.api;

/** HTTP headers of the callers' interface. Holds no state; safe from any thread. */
public final class CallerHeaders {
    /** Team that sends the request. */
    public static final String TEAM = "X-Papayawalk-Team";

    /** Priority: {@code high}, {@code normal} or {@code low}. */
    public static final String PRIORITY = "X-Papayawalk-Priority";

    /** Time that the caller waits, in milliseconds. */
    public static final String DEADLINE = "X-Papayawalk-Deadline-Millis";

    /** Outcome of the request. */
    public static final String OUTCOME = "X-Papayawalk-Outcome";

    /** Host that answered. */
    public static final String HOST = "X-Papayawalk-Host";

    /** Key of a non-idempotent call. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Whether the answer is a kept one. */
    public static final String REPLAYED = "X-Papayawalk-Replayed";

    /** Time after which to come back, in whole seconds. */
    public static final String RETRY_AFTER = "Retry-After";

    /** Time after which to come back, in milliseconds. */
    public static final String RETRY_AFTER_MILLIS = "Retry-After-Ms";

    /** Digest of the manifest that the engine served the answer from. */
    public static final String MODEL_DIGEST = "X-Model-Digest";

    /** Events that the engine is to skip when it resumes a stream. */
    public static final String RESUME_FROM = "X-Resume-From";

    /** Prevents instances. */
    private CallerHeaders() {}
}
