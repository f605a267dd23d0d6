package org.papayawalk.core.desired;

import java.util.Optional;
import java.util.OptionalDouble;
import org.papayawalk.core.id.ServiceId;

/**
 * Service in the desired state. Immutable.
 *
 * @param id name of the service
 * @param maxConnections connections that each upstream accepts from all clients together
 * @param engine specification of its model engines, empty for a service without engines
 * @param origin server that weights are downloaded from, empty unless this service is the origin
 * @param coldPerSecond requests per second that an upstream which has just started takes from all
 *     machines together, empty if it takes as many as any other
 */
public record ServiceSpec(
        ServiceId id,
        int maxConnections,
        Optional<EngineSpec> engine,
        Optional<OriginSpec> origin,
        OptionalDouble coldPerSecond) {}
