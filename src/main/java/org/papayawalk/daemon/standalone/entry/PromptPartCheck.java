package org.papayawalk.daemon.standalone.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.id.PromptPartId;

/**
 * Checks whether one request may be dispatched, by the evidence of the entry on the parts of its
 * prompt at that moment. While a part is suspected, the request may be dispatched only if it has
 * begun a trial; it begins at most one until the parts are clear again. Not thread-safe: confined
 * to the thread that serves the caller.
 */
final class PromptPartCheck {
    private final PromptPartGuard guard;

    private final List<PromptPartId> parts;

    /** Whether this request has begun a trial of its suspected parts. */
    private boolean inTrial;

    /**
     * Creates the check of a request that has begun no trial.
     *
     * @param guard evidence of the entry
     * @param parts parts of the prompt of the request
     */
    PromptPartCheck(PromptPartGuard guard, List<PromptPartId> parts) {
        this.guard = guard;
        this.parts = parts;
    }

    /**
     * Decides whether the request may be dispatched now. Begins a trial if it needs one.
     *
     * @param mayHaveRun whether an upstream may have run the request; then it is not repeated while
     *     a part is suspected
     * @param now present time
     * @return empty if it may be dispatched, otherwise the delay after which its caller may retry
     */
    Optional<Duration> admit(boolean mayHaveRun, Instant now) {
        boolean admitted =
                switch (guard.verdict(parts, now)) {
                    case CLEAR -> {
                        inTrial = false;
                        yield true;
                    }
                    case TRIAL -> !mayHaveRun && holdsTrial(now);
                    case REFUSED -> false;
                };
        return admitted ? Optional.empty() : Optional.of(guard.retryAfter(parts, now));
    }

    private boolean holdsTrial(Instant now) {
        inTrial = inTrial || guard.beginTrial(parts, now);
        return inTrial;
    }
}
