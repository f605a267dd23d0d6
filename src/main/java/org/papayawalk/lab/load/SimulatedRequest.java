package org.papayawalk.lab.load;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.papayawalk.core.id.UpstreamId;

/** Request of a caller, from its first attempt to its end. Not thread-safe. */
final class SimulatedRequest {
    /** Kind of the request. */
    private final RequestClass kind;

    /** Tokens of the prompt. */
    private final int promptTokens;

    /** Events of the answer. */
    private final int events;

    /** Whether its caller comes back at once. */
    private final boolean impatient;

    /** When its first attempt was made. */
    private final Instant born;

    /** Engines that the present attempt was sent to. */
    private final Set<UpstreamId> tried = new HashSet<>();

    /** Attempts begun. */
    private int attempts;

    /** When the first event came; null before. */
    private Instant firstAt;

    /** Whether the request was answered to its end. */
    private boolean answered;

    /**
     * Creates a request.
     *
     * @param kind kind of the request
     * @param promptTokens tokens of the prompt
     * @param events events of the answer
     * @param impatient whether its caller comes back at once
     * @param born present time
     */
    SimulatedRequest(
            RequestClass kind, int promptTokens, int events, boolean impatient, Instant born) {
        this.kind = kind;
        this.promptTokens = promptTokens;
        this.events = events;
        this.impatient = impatient;
        this.born = born;
    }

    /** Begins an attempt. */
    void begin() {
        attempts++;
        tried.clear();
    }

    /**
     * Records the first event.
     *
     * @param now present time
     */
    void first(Instant now) {
        firstAt = now;
    }

    /** Records the end of the answer. */
    void done() {
        answered = true;
    }

    /**
     * Returns the kind of the request.
     *
     * @return kind
     */
    RequestClass kind() {
        return kind;
    }

    /**
     * Returns the length of the prompt.
     *
     * @return tokens
     */
    int promptTokens() {
        return promptTokens;
    }

    /**
     * Returns the length of the answer.
     *
     * @return events
     */
    int events() {
        return events;
    }

    /**
     * Tells whether its caller comes back at once.
     *
     * @return true if it does not wait as told
     */
    boolean impatient() {
        return impatient;
    }

    /**
     * Returns the attempts begun.
     *
     * @return number
     */
    int attempts() {
        return attempts;
    }

    /**
     * Returns the engines that the present attempt was sent to.
     *
     * @return names, which the sender adds to
     */
    Set<UpstreamId> tried() {
        return tried;
    }

    /**
     * Returns when the caller stops waiting.
     *
     * @return time
     */
    Instant deadline() {
        return born.plus(kind.timeout());
    }

    /**
     * Returns the time from the first attempt to the first event.
     *
     * @return time, of a request with a first event
     */
    Duration firstAfter() {
        return Duration.between(born, firstAt);
    }

    /**
     * Tells whether the target has passed.
     *
     * @param now present time
     * @return true if an answer would be late
     */
    boolean lateAt(Instant now) {
        return now.isAfter(born.plus(kind.target()));
    }

    /**
     * Tells whether the request was answered to its end.
     *
     * @return true if it was
     */
    boolean answered() {
        return answered;
    }

    /**
     * Tells whether the answer came in time.
     *
     * @return true if the first event came within the target
     */
    boolean inTime() {
        return answered && firstAfter().compareTo(kind.target()) <= 0;
    }
}
