package org.papayawalk.daemon.site;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.upstream.UpstreamEntry;

/**
 * What a daemon believes of the site at one moment. Immutable.
 *
 * @param desired desired state in force, empty before the first one is known
 * @param upstreams upstreams that may take new work, by service; empty before they are known
 * @param versions newest version of each model's weights that was named
 */
public record SiteView(
        Optional<DesiredState> desired,
        Optional<Map<ServiceId, List<UpstreamEntry>>> upstreams,
        Map<String, NamedVersion> versions) {
    /** View of a daemon that knows nothing yet. */
    public static final SiteView EMPTY = new SiteView(Optional.empty(), Optional.empty(), Map.of());

    /**
     * Returns the upstreams of a service.
     *
     * @param service service
     * @return upstreams that may take new work
     */
    public List<UpstreamEntry> upstreams(ServiceId service) {
        return upstreams.map(u -> u.getOrDefault(service, List.of())).orElse(List.of());
    }

    /**
     * Tells whether requests can be decided.
     *
     * @return true once the desired state and the upstreams are known
     */
    public boolean complete() {
        return desired.isPresent() && upstreams.isPresent();
    }

    /**
     * Version of a model's weights that the operator named. Immutable.
     *
     * @param number number of the version
     * @param learnedAt when this daemon learned of it; {@link Instant#MIN} if it was named before
     *     this daemon started
     */
    public record NamedVersion(int number, Instant learnedAt) {}
}
