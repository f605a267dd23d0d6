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

/** Version that the site wants of the engines of one service. Thread-safe. */
final class PlatformTargetVersion implements TargetVersion {
    /** Common part of the daemon. */
    private final ManagedNode node;

    /** Service of the engine. */
    private final Optional<ServiceId> service;

    /** Origin, which has to know the versions that are asked for. */
    private final ManagedOrigin origin;

    /**
     * Creates a view of what is wanted.
     *
     * @param node common part of the daemon
     * @param service service of the engine
     * @param origin origin, which has to know the versions that are asked for
     */
    PlatformTargetVersion(ManagedNode node, Optional<ServiceId> service, ManagedOrigin origin) {
        this.node = node;
        this.service = service;
        this.origin = origin;
    }

    @Override
    public Optional<WeightVersion> version() {
        PlatformSnapshot view = node.state().view();
        Optional<String> model = model(view);
        if (model.isEmpty() || view.upstreams().isEmpty()) {
            return Optional.empty();
        }
        int number = view.newest(model.get()).map(RequestedVersion::number).orElse(1);
        WeightVersion version = new WeightVersion(model.get(), number);
        origin.register(version);
        return Optional.of(version);
    }

    @Override
    public List<RequestedVersion> named() {
        PlatformSnapshot view = node.state().view();
        return model(view).map(m -> view.versions().getOrDefault(m, List.of())).orElse(List.of());
    }

    @Override
    public Instant endOf(int held) {
        Duration limit = node.settings().limits().versionDeadline();
        return named().stream()
                .filter(v -> v.number() > held)
                .findFirst()
                .map(
                        v ->
                                v.receivedAt().equals(Instant.MIN)
                                        ? v.receivedAt()
                                        : v.receivedAt().plus(limit))
                .orElse(Instant.MIN);
    }

    /**
     * Returns the model of the service.
     *
     * @param view view of the site
     * @return name of the model
     */
    private Optional<String> model(PlatformSnapshot view) {
        return service.flatMap(s -> view.desired().flatMap(d -> d.engine(s)))
                .flatMap(EngineSpec::model);
    }
}
