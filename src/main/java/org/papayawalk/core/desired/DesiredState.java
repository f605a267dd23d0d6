package org.papayawalk.core.desired;

import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.id.ServiceId;

/**
 * What the operator wants, as one accepted version. Immutable.
 *
 * @param version number of the version, rises with each change in uneven steps
 * @param routes routes of requests
 * @param services services by name
 * @param limits bounds on callers
 * @param apiKeyRequired whether requests carry a key, unless their route is open to anyone
 * @param callersByKey holder of each key
 */
public record DesiredState(
        long version,
        RouteTable routes,
        Map<ServiceId, ServiceSpec> services,
        CallerLimits limits,
        boolean apiKeyRequired,
        Map<String, Caller> callersByKey) {

    /** Copies the maps. */
    public DesiredState {
        services = Map.copyOf(services);
        callersByKey = Map.copyOf(callersByKey);
    }

    /**
     * Returns the engines of a service.
     *
     * @param service name of the service
     * @return its engines, empty if it has none or is not known
     */
    public Optional<EngineSpec> engine(ServiceId service) {
        return Optional.ofNullable(services.get(service)).flatMap(ServiceSpec::engine);
    }

    /**
     * Returns the origin of weights.
     *
     * @return the origin, empty if no service is one
     */
    public Optional<OriginSpec> origin() {
        return services.values().stream().flatMap(s -> s.origin().stream()).findFirst();
    }
}
