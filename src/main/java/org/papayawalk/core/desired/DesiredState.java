package org.papayawalk.core.desired;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.papayawalk.core.id.ServiceId;

/**
 * One version of the configuration that the operators want in force on the managed platform.
 * Immutable.
 *
 * @param version number of the version; increases with each change, not always by 1
 * @param routes routing rules
 * @param services services by name
 * @param limits limits on callers
 * @param apiKeyRequired whether requests need an API key, except on routes that allow anonymous
 *     requests
 * @param callersByKey team that holds each API key
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
     * Returns the specification of the model engines of a service.
     *
     * @param service name of the service
     * @return specification, empty if the service is unknown or has no engines
     */
    public Optional<EngineSpec> engine(ServiceId service) {
        return Optional.ofNullable(services.get(service)).flatMap(ServiceSpec::engine);
    }

    /**
     * Returns how many requests an upstream of a service takes while it is cold.
     *
     * @param service name of the service
     * @return requests per second from all machines together, empty if it takes as many as any
     *     other
     */
    public OptionalDouble coldPerSecond(ServiceId service) {
        ServiceSpec spec = services.get(service);
        return spec == null ? OptionalDouble.empty() : spec.coldPerSecond();
    }

    /**
     * Returns the server that weights are downloaded from.
     *
     * @return the origin, empty if no service is an origin
     */
    public Optional<OriginSpec> origin() {
        return services.values().stream().flatMap(s -> s.origin().stream()).findFirst();
    }
}
