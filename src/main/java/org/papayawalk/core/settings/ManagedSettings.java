package org.papayawalk.core.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.id.ServiceId;

/**
 * Settings of one process on a machine of the platform. Immutable.
 *
 * @param host name of the machine
 * @param ip address of the machine
 * @param domain failure domain of the machine
 * @param regions region of each failure domain
 * @param callerAddress where callers connect, empty if the role serves none
 * @param readyAddress where readiness is asked, empty if it is not
 * @param controlAddress where other daemons find this one first, empty if they do not
 * @param peerPort first port for messages between daemons, the same on every machine
 * @param seeds control addresses of some daemons, possibly stale
 * @param firstStart whether the whole system starts for the first time
 * @param storeAddress address of the platform's store
 * @param upstreamAddress upstream beside which this process runs, empty if there is none
 * @param upstreamService service of that upstream, empty if there is none
 * @param linkBytesPerSecond speed of the machine's link in each direction
 * @param limits time limits that the operators set
 */
public record ManagedSettings(
        HostId host,
        String ip,
        DomainId domain,
        Map<DomainId, RegionId> regions,
        Optional<String> callerAddress,
        Optional<String> readyAddress,
        Optional<String> controlAddress,
        int peerPort,
        List<String> seeds,
        boolean firstStart,
        String storeAddress,
        Optional<String> upstreamAddress,
        Optional<ServiceId> upstreamService,
        double linkBytesPerSecond,
        OperatorLimits limits) {

    /** Copies the collections. */
    public ManagedSettings {
        regions = Map.copyOf(regions);
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns the address of this process for other daemons.
     *
     * @return IP number and port
     */
    public String peerAddress() {
        return ip + ":" + peerPort;
    }

    /**
     * Returns the region of a failure domain.
     *
     * @param of failure domain
     * @return its region; a domain that is not listed counts as a region of its own
     */
    public RegionId region(DomainId of) {
        return regions.getOrDefault(of, new RegionId(of.value()));
    }

    /**
     * Returns the region of this machine.
     *
     * @return region
     */
    public RegionId region() {
        return region(domain);
    }

    /**
     * Time limits of the operators. Immutable.
     *
     * @param grace time between a request to stop and the kill
     * @param versionDeadline time after which a new version of weights is everywhere
     * @param retryRatio repeats allowed for each request, over all daemons
     * @param retrySlack repeats allowed besides, over all daemons in one window
     * @param retryWindow length of the window
     */
    public record OperatorLimits(
            Duration grace,
            Duration versionDeadline,
            double retryRatio,
            double retrySlack,
            Duration retryWindow) {}
}
