package org.papayawalk.core.call;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller states about its request. Immutable.
 *
 * @param requestId id of this attempt, empty if the caller gave none
 * @param apiKey key of the caller, empty if it gave none
 * @param timeoutMillis time that the caller waits, in milliseconds
 * @param model model that the request is for, empty if it is for none
 * @param promptTokens tokens of the prompt, 0 if not stated
 * @param maxAnswerTokens most tokens of the answer, 0 if not stated
 * @param lastEventId last event that the caller has of this stream, empty if it starts anew
 */
public record RequestMetadata(
        String requestId,
        Optional<String> apiKey,
        OptionalLong timeoutMillis,
        Optional<String> model,
        int promptTokens,
        int maxAnswerTokens,
        Optional<String> lastEventId) {

    /**
     * Returns how long the request may take.
     *
     * @param routeLimit time limit of its route
     * @return the route's limit, or what the caller states if that is less
     */
    public Duration timeout(Duration routeLimit) {
        if (timeoutMillis.isEmpty()) {
            return routeLimit;
        }
        Duration left = Duration.ofMillis(timeoutMillis.getAsLong());
        return left.compareTo(routeLimit) < 0 ? left : routeLimit;
    }
}
