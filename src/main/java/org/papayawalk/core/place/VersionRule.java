package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalInt;

/**
 * Decides which version of weights may answer. For a while after a new version was named, upstreams
 * that still hold an older one go on answering; after that only the new one does. Immutable.
 */
public final class VersionRule {
    /** Time before the limit at which old versions stop answering. */
    private static final Duration MARGIN = Duration.ofMillis(1200);

    /** Time for which old versions go on answering. */
    private final Duration oldAnswers;

    /**
     * Creates a rule.
     *
     * @param limit time after which a named version must be everywhere
     */
    public VersionRule(Duration limit) {
        oldAnswers = limit.minus(MARGIN);
    }

    /**
     * Returns the version that has to answer.
     *
     * @param newest newest version named
     * @param learnedAt when this daemon learned of it
     * @param now present time
     * @return the newest version once older ones have to stop, empty before that
     */
    public OptionalInt required(int newest, Instant learnedAt, Instant now) {
        boolean required = !learnedAt.plus(oldAnswers).isAfter(now);
        return required ? OptionalInt.of(newest) : OptionalInt.empty();
    }
}
