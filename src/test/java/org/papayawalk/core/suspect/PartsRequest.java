package org.papayawalk.core.suspect;

import java.time.Instant;
import java.util.List;
import org.papayawalk.core.id.PromptPartId;

/**
 * Request of a caller in an emulation. Its own last part is left out, as evidence never names it.
 * Not thread-safe.
 */
final class PartsRequest {
    /** Kind of request, that is, its route. */
    final int kind;

    /** Caller. */
    final String caller;

    /** Parts that other requests may share, in order. */
    final List<PromptPartId> parts;

    /** Whether the caller sends it for the second time. */
    final boolean repeated;

    /** When an entry gets it; null before. */
    Instant receivedAt;

    /** Whether an answer to it has begun. */
    boolean begun;

    /** Whether it is repeated at another upstream. */
    boolean resent;

    /**
     * Creates a request.
     *
     * @param kind kind of request
     * @param caller caller
     * @param parts parts that other requests may share
     * @param repeated whether the caller sends it for the second time
     */
    PartsRequest(int kind, String caller, List<PromptPartId> parts, boolean repeated) {
        this.kind = kind;
        this.caller = caller;
        this.parts = parts;
        this.repeated = repeated;
    }

    /**
     * Returns the request as its caller sends it again.
     *
     * @return second request
     */
    PartsRequest again() {
        return new PartsRequest(kind, caller, parts, true);
    }
}
