package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.util.Set;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.limit.UpstreamLimits;
import org.papayawalk.core.suspect.PromptPartRegistry;
import org.papayawalk.core.suspect.SuspectRegistry;

/**
 * What entries observe of requests and upstreams, and tell each other. The registries are
 * thread-safe.
 *
 * @param suspects crash evidence against requests
 * @param limits limits that upstreams have stated
 * @param promptParts evidence on parts of prompts that crashed upstreams
 */
public record SharedEvidence(
        SuspectRegistry suspects, UpstreamLimits limits, PromptPartRegistry promptParts) {

    /**
     * Creates the evidence of a daemon that forwards no requests.
     *
     * @return empty registries
     */
    public static SharedEvidence none() {
        return new SharedEvidence(
                new SuspectRegistry(1, Duration.ofSeconds(1)),
                new UpstreamLimits(new HostId("none"), Set::of),
                new PromptPartRegistry(p -> false));
    }
}
