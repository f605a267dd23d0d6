package org.papayawalk.daemon.managed;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * State of the platform as one daemon has it at one moment. Immutable.
 *
 * @param desired desired state in force, empty until the first one is received
 * @param upstreams upstreams that may receive new work, by service; empty until the table of
 *     servers has been read
 * @param loading upstreams of these that load weights and take no new requests at present
 * @param versions versions of each model's weights that the operator requested, the newest last
 * @param evacuated failure domains whose upstreams get no requests, as the operator asked
 */
public record PlatformSnapshot(
        Optional<DesiredState> desired,
        Optional<Map<ServiceId, List<UpstreamRegistration>>> upstreams,
        Set<UpstreamId> loading,
        Map<String, List<RequestedVersion>> versions,
        Set<DomainId> evacuated) {
    /** Snapshot before any table has been read. */
    public static final PlatformSnapshot EMPTY =
            new PlatformSnapshot(Optional.empty(), Optional.empty(), Set.of(), Map.of(), Set.of());

    /**
     * Creates a snapshot in which no failure domain is evacuated.
     *
     * @param desired see the component
     * @param upstreams see the component
     * @param loading see the component
     * @param versions see the component
     */
    public PlatformSnapshot(
            Optional<DesiredState> desired,
            Optional<Map<ServiceId, List<UpstreamRegistration>>> upstreams,
            Set<UpstreamId> loading,
            Map<String, List<RequestedVersion>> versions) {
        this(desired, upstreams, loading, versions, Set.of());
    }

    /**
     * Returns the upstreams of a service.
     *
     * @param service service
     * @return upstreams that may receive new work; empty if there are none or they are not known
     *     yet
     */
    public List<UpstreamRegistration> upstreams(ServiceId service) {
        return upstreams.map(u -> u.getOrDefault(service, List.of())).orElse(List.of());
    }

    /**
     * Returns the newest version of a model's weights.
     *
     * @param model name of the model
     * @return version, empty if none was requested
     */
    public Optional<RequestedVersion> newestVersion(String model) {
        List<RequestedVersion> requested = versions.getOrDefault(model, List.of());
        return requested.isEmpty()
                ? Optional.empty()
                : Optional.of(requested.get(requested.size() - 1));
    }

    /**
     * Returns whether an upstream serves a version of a model.
     *
     * @param service service of the upstreams
     * @param model name of the model
     * @param number number of the version
     * @return true if at least one upstream registered with that version
     */
    public boolean isServed(ServiceId service, String model, int number) {
        return upstreams(service).stream()
                .anyMatch(r -> Integer.valueOf(number).equals(r.models().get(model)));
    }

    /**
     * Returns whether requests can be routed.
     *
     * @return true once the desired state and the upstreams are known
     */
    public boolean complete() {
        return desired.isPresent() && upstreams.isPresent();
    }
}
