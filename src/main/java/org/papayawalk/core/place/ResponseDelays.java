package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how long a message takes to upstreams, from the time between sending a message and the
 * start of its answer. A message needs at most as long as the fastest of the recent answers did. If
 * no answer to a later message has arrived, it may need as long as a message has waited for its
 * answer, also if the sender has given that message up since.
 *
 * <p>Holds only what was sent in the last seconds. Not thread-safe.
 *
 * @param <K> what the messages are grouped by, such as an upstream or a failure domain
 */
public final class ResponseDelays<K> {
    /** Time after which an answer no longer counts. */
    private static final Duration ANSWER_RETENTION = Duration.ofSeconds(4);

    /** Time after which a message without an answer no longer counts. */
    private static final Duration WAIT_RETENTION = Duration.ofSeconds(10);

    /** Answers of a group that are kept, and messages without an answer. */
    private static final int MAX_PER_GROUP = 16;

    private static final int MAX_GROUPS = 4096;

    /** Time in which answers count as equally recent. */
    private final Duration recency;

    private final Map<K, Group> groups = new HashMap<>();

    /**
     * Creates an estimator without messages.
     *
     * @param recency time in which answers count as equally recent, at most 4 s; several messages
     *     of a group should be answered within it
     */
    public ResponseDelays(Duration recency) {
        this.recency = recency;
    }

    /** Message that was sent. Messages are told apart by identity. */
    public static final class Sent {
        private final Instant at;

        /** When the sender gave up; null while it waits. */
        private Instant endedAt;

        private Sent(Instant at) {
            this.at = at;
        }

        private Duration waited(Instant now) {
            return Duration.between(at, endedAt == null ? now : endedAt);
        }
    }

    /**
     * Records that a message is sent.
     *
     * @param key group of the receiver
     * @param now present time
     * @return message, for {@link #answered} and {@link #ended}
     */
    public Sent sent(K key, Instant now) {
        Sent message = new Sent(now);
        if (groups.size() >= MAX_GROUPS) {
            groups.values().removeIf(g -> g.isEmpty(now));
        }
        groups.computeIfAbsent(key, k -> new Group()).add(message);
        return message;
    }

    /**
     * Records the start of an answer.
     *
     * @param key group of the receiver
     * @param message message
     * @param now present time
     */
    public void answered(K key, Sent message, Instant now) {
        Group group = groups.get(key);
        if (group != null) {
            group.answered(message, now);
        }
    }

    /**
     * Records that the sender no longer waits for an answer. No effect after an answer.
     *
     * @param message message
     * @param now present time
     */
    public void ended(Sent message, Instant now) {
        if (message.endedAt == null) {
            message.endedAt = now;
        }
    }

    /**
     * Returns how long a message may take.
     *
     * @param key group of its receiver
     * @param now present time
     * @return zero if nothing is known of the last seconds
     */
    public Duration estimate(K key, Instant now) {
        Group group = groups.get(key);
        return group == null ? Duration.ZERO : group.estimate(recency, now);
    }

    private record Answer(Instant at, Duration delay) {}

    /** Messages with the same key. */
    private static final class Group {
        /** Oldest first. */
        private final Deque<Answer> answers = new ArrayDeque<>();

        /** Messages that were sent after the last one that was answered; oldest first. */
        private final List<Sent> unanswered = new ArrayList<>();

        /** When the last of the answered messages was sent. */
        private Instant lastAnsweredSentAt = Instant.MIN;

        void add(Sent message) {
            if (unanswered.size() < MAX_PER_GROUP) {
                unanswered.add(message);
            }
        }

        // The answer shows how long messages take that were sent at the same time or before.
        void answered(Sent message, Instant now) {
            answers.addLast(new Answer(now, Duration.between(message.at, now)));
            if (answers.size() > MAX_PER_GROUP) {
                answers.removeFirst();
            }
            unanswered.remove(message);
            if (message.at.isAfter(lastAnsweredSentAt)) {
                lastAnsweredSentAt = message.at;
                unanswered.removeIf(s -> !s.at.isAfter(lastAnsweredSentAt));
            }
        }

        boolean isEmpty(Instant now) {
            forget(now);
            return answers.isEmpty() && unanswered.isEmpty();
        }

        Duration estimate(Duration recency, Instant now) {
            forget(now);
            Duration estimate = fastest(recency);
            for (Sent s : unanswered) {
                Duration waited = s.waited(now);
                if (waited.compareTo(estimate) > 0) {
                    estimate = waited;
                }
            }
            return estimate;
        }

        private void forget(Instant now) {
            Instant answersFrom = now.minus(ANSWER_RETENTION);
            while (!answers.isEmpty() && answers.getFirst().at.isBefore(answersFrom)) {
                answers.removeFirst();
            }
            Instant waitsFrom = now.minus(WAIT_RETENTION);
            unanswered.removeIf(s -> s.at.isBefore(waitsFrom));
        }

        // Returns the shortest delay among the last answer and those shortly before it.
        private Duration fastest(Duration recency) {
            if (answers.isEmpty()) {
                return Duration.ZERO;
            }
            Answer last = answers.getLast();
            Duration fastest = last.delay;
            for (Answer a : answers) {
                boolean recent = !a.at.plus(recency).isBefore(last.at);
                if (recent && a.delay.compareTo(fastest) < 0) {
                    fastest = a.delay;
                }
            }
            return fastest;
        }
    }
}
