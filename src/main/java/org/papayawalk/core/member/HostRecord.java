package org.papayawalk.core.member;

import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;

/**
 * Record of the host list, which is read as JSON under the names of the components. Immutable.
 *
 * @param host name of the host
 * @param domain failure domain of the host
 * @param region region of the failure domain
 * @param role role of the daemon on the host
 * @param fleet fleet of the upstream, empty if the daemon is an entry
 * @param address IP address and port of the daemon
 * @param state state of the host according to the list
 */
public record HostRecord(
        HostId host,
        DomainId domain,
        RegionId region,
        HostRole role,
        String fleet,
        String address,
        HostState state) {}
