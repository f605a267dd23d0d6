package org.papayawalk.daemon.managed;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * What a daemon believes of the site at one moment. Immutable.
 *
 * @param desired desired state in force, empty before the first one is known
 * @param upstreams upstreams that may take new work, by service; empty before they are known
 * @param versions versions of each model's weights that were named, the newest last
 */
public record PlatformSnapshot(
        Optional<DesiredState> desired,
        Optional<Map<ServiceId, List<UpstreamRegistration>>> upstreams,
        Map<String, List<RequestedVersion>> versions) {
    /** View of a daemon that knows nothing yet. */
    public static final PlatformSnapshot EMPTY =
            new PlatformSnapshot(Optional.empty(), Optional.empty(), Map.of());

    /**
     * Returns the upstreams of a service.
     *
     * @param service service
     * @return upstreams that may take new work
     */
    public List<UpstreamRegistration> upstreams(ServiceId service) {
        return upstreams.map(u -> u.getOrDefault(service, List.of())).orElse(List.of());
    }

    /**
     * Returns the newest version of a model's weights.
     *
     * @param model name of the model
     * @return version, empty if none was named
     */
    public Optional<RequestedVersion> newest(String model) {
        List<RequestedVersion> named = versions.getOrDefault(model, List.of());
        return named.isEmpty() ? Optional.empty() : Optional.of(named.get(named.size() - 1));
    }

    /**
     * Tells whether requests can be decided.
     *
     * @return true once the desired state and the upstreams are known
     */
    public boolean complete() {
        return desired.isPresent() && upstreams.isPresent();
    }
}
