package org.papayawalk.daemon.managed.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.desired.EngineSpec;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.PlatformSnapshot;
import org.papayawalk.daemon.managed.weight.ManagedOrigin;
import org.papayawalk.daemon.managed.weight.WeightVersion;

/** Target version for the engines of one service, taken from the platform snapshot. Thread-safe. */
final class PlatformTargetVersion implements TargetVersion {
    private final ManagedNode node;

    private final Optional<ServiceId> service;

    private final ManagedOrigin origin;

    /**
     * Creates the target of a service.
     *
     * @param node services shared by the parts of the daemon
     * @param service service of the engine, empty if the settings name none
     * @param origin origin of the weights, at which each target version is registered
     */
    PlatformTargetVersion(ManagedNode node, Optional<ServiceId> service, ManagedOrigin origin) {
        this.node = node;
        this.service = service;
        this.origin = origin;
    }

    @Override
    public Optional<WeightVersion> version() {
        PlatformSnapshot snapshot = node.state().snapshot();
        Optional<String> model = model(snapshot);
        if (model.isEmpty() || snapshot.upstreams().isEmpty()) {
            return Optional.empty();
        }
        int number = snapshot.newestVersion(model.get()).map(RequestedVersion::number).orElse(1);
        WeightVersion version = new WeightVersion(model.get(), number);
        origin.register(version);
        return Optional.of(version);
    }

    @Override
    public List<RequestedVersion> requestedVersions() {
        PlatformSnapshot snapshot = node.state().snapshot();
        return model(snapshot)
                .map(m -> snapshot.versions().getOrDefault(m, List.of()))
                .orElse(List.of());
    }

    @Override
    public Instant validUntil(int number) {
        Duration limit = node.settings().limits().versionDeadline();
        return requestedVersions().stream()
                .filter(v -> v.number() > number)
                .findFirst()
                .map(
                        v ->
                                v.receivedAt().equals(Instant.MIN)
                                        ? v.receivedAt()
                                        : v.receivedAt().plus(limit))
                .orElse(Instant.MIN);
    }

    private Optional<String> model(PlatformSnapshot snapshot) {
        return service.flatMap(s -> snapshot.desired().flatMap(d -> d.engine(s)))
                .flatMap(EngineSpec::model);
    }
}
