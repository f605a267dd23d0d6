package org.papayawalk.core.desired;

import org.papayawalk.core.id.DomainId;

/**
 * Server that weights are downloaded from. Immutable.
 *
 * @param address IP address and port, such as {@code 10.0.0.1:7000}
 * @param domain failure domain of the server
 * @param maxConnections connections that the server accepts from all clients together
 */
public record OriginSpec(String address, DomainId domain, int maxConnections) {}
