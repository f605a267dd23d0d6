package org.papayawalk.core.desired;

import java.util.Optional;
import org.papayawalk.core.id.ServiceId;

/**
 * One service of the desired state. Immutable.
 *
 * @param id name
 * @param maxConnections connections that each upstream accepts from all callers together
 * @param engine what its model engines are like, if it has engines
 * @param origin where weights come from, if this service is that origin
 */
public record ServiceSpec(
        ServiceId id,
        int maxConnections,
        Optional<EngineSpec> engine,
        Optional<OriginSpec> origin) {}
