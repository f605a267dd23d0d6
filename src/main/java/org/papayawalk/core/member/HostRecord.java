package org.papayawalk.core.member;

import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;

/**
 * Line of the host list. Immutable.
 *
 * @param host name of the host
 * @param domain failure domain of the host
 * @param region region of the failure domain
 * @param role role of its daemon
 * @param fleet fleet of its upstream, empty for an entry
 * @param address IP number and port of its daemon
 * @param state whether the host is leaving
 */
public record HostRecord(
        HostId host,
        DomainId domain,
        RegionId region,
        HostRole role,
        String fleet,
        String address,
        HostState state) {}
