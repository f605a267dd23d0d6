package org.papayawalk.core.call;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.papayawalk.core.id.PromptPartId;

/**
 * Metadata of a request, as stated by its caller. Immutable.
 *
 * @param requestId id that the caller gave to this attempt, empty if none
 * @param apiKey API key of the caller, empty if none
 * @param timeoutMillis time that the caller waits for the answer, in milliseconds; empty if not
 *     stated
 * @param model model that the request addresses, empty if none
 * @param promptTokens length of the prompt in tokens, 0 if not stated
 * @param maxAnswerTokens maximum length of the answer in tokens, 0 if not stated
 * @param lastEventId id of the last event that the caller received from this stream, empty if the
 *     stream is not resumed
 * @param promptParts parts of the prompt that other requests may share, in order and without
 *     duplicates; the last part is left out, as it belongs to this request or its session
 */
public record RequestMetadata(
        String requestId,
        Optional<String> apiKey,
        OptionalLong timeoutMillis,
        Optional<String> model,
        int promptTokens,
        int maxAnswerTokens,
        Optional<String> lastEventId,
        List<PromptPartId> promptParts) {

    /** Copies the parts. */
    public RequestMetadata {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the timeout of the request.
     *
     * @param routeTimeout timeout of the route
     * @return the shorter of the timeouts of the route and of the caller
     */
    public Duration timeout(Duration routeTimeout) {
        if (timeoutMillis.isEmpty()) {
            return routeTimeout;
        }
        Duration callerTimeout = Duration.ofMillis(timeoutMillis.getAsLong());
        return callerTimeout.compareTo(routeTimeout) < 0 ? callerTimeout : routeTimeout;
    }
}
