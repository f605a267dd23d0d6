package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.suspect.PartEvidence;
import org.papayawalk.core.suspect.PromptPartRegistry;
import org.papayawalk.wire.proto.PromptPartCrash;
import org.papayawalk.wire.proto.PromptPartEvidence;

/**
 * Encodes and decodes what entries tell each other of parts of prompts that crashed upstreams.
 * Stateless.
 */
final class PromptPartMessages {
    /** Older observations are neither told nor believed. */
    private static final Duration MAX_AGE = Duration.ofMinutes(10);

    /** Crashes that are told of one part, the latest ones, so that messages stay small. */
    private static final int MAX_CRASHES = 16;

    private static final int MAX_ID_LENGTH = 64;

    private static final Duration ALMOST_ONE_MILLI = Duration.ofNanos(999_999);

    private PromptPartMessages() {}

    /**
     * Encodes the evidence on parts of prompts.
     *
     * @param parts evidence of this daemon
     * @param now present time
     * @return one message per part that crashed an upstream in the last 10 minutes, bounded in
     *     number
     */
    static List<PromptPartEvidence> encode(PromptPartRegistry parts, Instant now) {
        return parts.evidence(now).stream()
                .map(PromptPartMessages::encode)
                .filter(m -> m.getCrashesCount() > 0)
                .toList();
    }

    /**
     * Encodes the evidence on one part.
     *
     * @param evidence evidence
     * @return message, without what is older than 10 minutes
     */
    static PromptPartEvidence encode(PartEvidence evidence) {
        PromptPartEvidence.Builder message =
                PromptPartEvidence.newBuilder().setPart(evidence.part().value());
        evidence.crashAges().entrySet().stream()
                .filter(e -> isRecent(e.getValue()))
                .sorted(Map.Entry.comparingByValue())
                .limit(MAX_CRASHES)
                .map(e -> crash(e.getKey(), e.getValue(), evidence))
                .forEach(message::addCrashes);
        return message.setAnswered(evidence.answered()).build();
    }

    /**
     * Adds the evidence of a peer. Idempotent. Leaves out what is malformed or older than 10
     * minutes.
     *
     * @param messages messages
     * @param parts evidence of this daemon
     * @param now present time
     */
    static void apply(
            Collection<PromptPartEvidence> messages, PromptPartRegistry parts, Instant now) {
        parts.merge(
                messages.stream()
                        .map(PromptPartMessages::decode)
                        .flatMap(Optional::stream)
                        .toList(),
                now);
    }

    /**
     * Decodes the evidence on one part.
     *
     * @param message message of a peer
     * @return evidence without values that are malformed or older than 10 minutes, empty if the id
     *     of the part is malformed
     */
    static Optional<PartEvidence> decode(PromptPartEvidence message) {
        if (message.getPart().isEmpty() || message.getPart().length() > MAX_ID_LENGTH) {
            return Optional.empty();
        }
        Map<UpstreamProcess, Duration> ages = new HashMap<>();
        Set<UpstreamProcess> cleared = new HashSet<>();
        for (PromptPartCrash c : message.getCrashesList()) {
            Duration age = age(c.getAgeMillis());
            if (isRecent(age) && !c.getUpstream().isEmpty()) {
                UpstreamId upstream = new UpstreamId(c.getUpstream());
                UpstreamProcess process = new UpstreamProcess(upstream, c.getIncarnation());
                ages.put(process, age);
                if (c.getCleared()) {
                    cleared.add(process);
                }
            }
        }
        return Optional.of(
                new PartEvidence(
                        new PromptPartId(message.getPart()), ages, cleared, message.getAnswered()));
    }

    private static PromptPartCrash crash(
            UpstreamProcess process, Duration age, PartEvidence evidence) {
        return PromptPartCrash.newBuilder()
                .setUpstream(process.id().value())
                .setIncarnation(process.incarnation())
                .setAgeMillis(millis(age))
                .setCleared(evidence.cleared().contains(process))
                .build();
    }

    // Rounds up: rounding must not make an observation younger each time it is passed on.
    private static int millis(Duration age) {
        return (int) age.plus(ALMOST_ONE_MILLI).toMillis();
    }

    // The field is unsigned: what a peer took for negative is a very high age.
    private static Duration age(int millis) {
        return Duration.ofMillis(Integer.toUnsignedLong(millis));
    }

    private static boolean isRecent(Duration age) {
        return !age.isNegative() && age.compareTo(MAX_AGE) <= 0;
    }
}
