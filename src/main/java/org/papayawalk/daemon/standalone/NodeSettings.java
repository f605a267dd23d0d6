package org.papayawalk.daemon.standalone;

import java.net.InetSocketAddress;
import java.util.List;
import org.papayawalk.core.member.HostRecord;

/**
 * Settings of a {@link Node}. Immutable.
 *
 * @param self host record of this daemon
 * @param listen address on which the daemon accepts connections from other daemons
 * @param seeds addresses of daemons to query for the host list while the platform's host list is
 *     unavailable, may be empty
 */
public record NodeSettings(HostRecord self, InetSocketAddress listen, List<String> seeds) {}
