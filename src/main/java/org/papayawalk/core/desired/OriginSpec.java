package org.papayawalk.core.desired;

import org.papayawalk.core.id.DomainId;

/**
 * Where the weights come from. Immutable.
 *
 * @param address IP number and port
 * @param domain failure domain that it stands in
 * @param maxConnections connections that it accepts from all callers together
 */
public record OriginSpec(String address, DomainId domain, int maxConnections) {}
