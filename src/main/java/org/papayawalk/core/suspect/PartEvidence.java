package org.papayawalk.core.suspect;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * What one entry tells others of a part of prompts. Ages stand in place of points in time, as hosts
 * share no clock. Immutable.
 *
 * @param part part
 * @param crashAges time since the crash of each process that was answering a request with the part
 * @param cleared those of the processes after whose crash a request with the part was answered
 *     completely; not told as a time, which would grow younger with each entry that passes it on
 * @param answered whether a request with the part was ever answered completely
 */
public record PartEvidence(
        PromptPartId part,
        Map<UpstreamProcess, Duration> crashAges,
        Set<UpstreamProcess> cleared,
        boolean answered) {

    /** Copies the collections. */
    public PartEvidence {
        crashAges = Map.copyOf(crashAges);
        cleared = Set.copyOf(cleared);
    }
}
