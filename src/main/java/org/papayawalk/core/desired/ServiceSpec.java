package org.papayawalk.core.desired;

import java.util.Optional;
import org.papayawalk.core.id.ServiceId;

/**
 * Service in the desired state. Immutable.
 *
 * @param id name of the service
 * @param maxConnections connections that each upstream accepts from all clients together
 * @param engine specification of its model engines, empty for a service without engines
 * @param origin server that weights are downloaded from, empty unless this service is the origin
 */
public record ServiceSpec(
        ServiceId id,
        int maxConnections,
        Optional<EngineSpec> engine,
        Optional<OriginSpec> origin) {}
