package org.papayawalk.lab.load;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.papayawalk.core.id.UpstreamId;

/**
 * Request of a caller, from the first attempt to the answer or the last refusal. Not thread-safe.
 */
final class SimulatedRequest {
    private final RequestClass requestClass;

    private final int promptTokens;

    private final int events;

    private final boolean impatient;

    private final Instant createdAt;

    private final Set<UpstreamId> triedEngines = new HashSet<>();

    private int attempts;

    /** Null until the first event. */
    private Instant firstEventAt;

    /** Whether the last event was received. */
    private boolean answered;

    /**
     * Creates a request without attempts.
     *
     * @param requestClass class of the request
     * @param promptTokens length of the prompt, in tokens
     * @param events length of the answer, in events
     * @param impatient whether the caller retries at once after a refusal
     * @param createdAt present time
     */
    SimulatedRequest(
            RequestClass requestClass,
            int promptTokens,
            int events,
            boolean impatient,
            Instant createdAt) {
        this.requestClass = requestClass;
        this.promptTokens = promptTokens;
        this.events = events;
        this.impatient = impatient;
        this.createdAt = createdAt;
    }

    /** Starts the next attempt, which may use every engine. */
    void beginAttempt() {
        attempts++;
        triedEngines.clear();
    }

    /**
     * Records that the caller received the first event.
     *
     * @param now present time
     */
    void recordFirstEvent(Instant now) {
        firstEventAt = now;
    }

    /** Records that the caller received the last event. */
    void recordEnd() {
        answered = true;
    }

    /**
     * Returns the class, which defines target, timeout and worth.
     *
     * @return class of the request
     */
    RequestClass requestClass() {
        return requestClass;
    }

    /**
     * Returns the length of the prompt.
     *
     * @return number of tokens
     */
    int promptTokens() {
        return promptTokens;
    }

    /**
     * Returns the length of the answer.
     *
     * @return number of events
     */
    int events() {
        return events;
    }

    /**
     * Tells whether the caller retries at once, whatever retry time the entry asks for.
     *
     * @return true for an impatient caller
     */
    boolean impatient() {
        return impatient;
    }

    /**
     * Returns the number of attempts that were started.
     *
     * @return 0 or more
     */
    int attempts() {
        return attempts;
    }

    /**
     * Returns the engines to which the present attempt was sent.
     *
     * @return mutable set; the entry adds each engine to which it sends the request
     */
    Set<UpstreamId> triedEngines() {
        return triedEngines;
    }

    /**
     * Returns the time at which the caller stops waiting.
     *
     * @return end of the timeout, counted from the first attempt
     */
    Instant deadline() {
        return createdAt.plus(requestClass.timeout());
    }

    /**
     * Returns the time from the first attempt to the first event. Must not be called before the
     * first event.
     *
     * @return duration, 0 or more
     */
    Duration timeToFirstEvent() {
        return Duration.between(createdAt, firstEventAt);
    }

    /**
     * Tells whether the target latency has passed.
     *
     * @param now present time
     * @return true if an answer whose first event comes now would be late
     */
    boolean isLate(Instant now) {
        return now.isAfter(createdAt.plus(requestClass.targetLatency()));
    }

    /**
     * Tells whether the caller received the whole answer.
     *
     * @return true after the last event
     */
    boolean answered() {
        return answered;
    }

    /**
     * Tells whether the answer is complete and its first event came within the target latency.
     *
     * @return true if the answer has its full worth
     */
    boolean inTime() {
        return answered && timeToFirstEvent().compareTo(requestClass.targetLatency()) <= 0;
    }
}
