package org.papayawalk.core.suspect;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * What one entry tells others of a part of prompts. Ages stand in place of points in time, as hosts
 * share no clock. Immutable.
 *
 * @param part part
 * @param crashAges time since the crash of each process that was answering a request with the part
 * @param answerAge time since the last complete answer to a request with the part, empty if none is
 *     known
 */
public record PartEvidence(
        PromptPartId part, Map<UpstreamProcess, Duration> crashAges, Optional<Duration> answerAge) {

    /** Copies the ages. */
    public PartEvidence {
        crashAges = Map.copyOf(crashAges);
    }
}
