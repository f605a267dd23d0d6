package org.papayawalk.daemon.standalone;

import java.net.InetSocketAddress;
import java.util.List;
import org.papayawalk.core.member.HostRecord;

/**
 * Settings of a node. Immutable.
 *
 * @param self the host's own line of the host list
 * @param listen address to listen on for peers
 * @param seeds addresses of peers to ask when the host list is away
 */
public record NodeSettings(HostRecord self, InetSocketAddress listen, List<String> seeds) {}
