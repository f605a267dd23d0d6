package org.papayawalk.core.settings;

import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.limit.ColdBound;

/**
 * Settings of one process on a host of the managed platform. Immutable.
 *
 * @param host name of the host
 * @param ip IP address of the host
 * @param domain failure domain of the host
 * @param regions region of each failure domain
 * @param callerAddress address that serves callers, empty if the role serves none
 * @param readyAddress address of the readiness endpoint, empty if there is none
 * @param controlAddress address at which other daemons first contact this one, in addition to the
 *     peer address; empty if they do not
 * @param peerPort first port for messages between daemons, the same on every host
 * @param seeds control addresses of some entries, possibly out of date
 * @param firstStart whether the whole system starts for the first time
 * @param storeAddress address of the platform's store
 * @param upstreamAddress address of the upstream beside this process, empty if there is none
 * @param upstreamService service of that upstream, empty if there is none
 * @param linkBytesPerSecond bandwidth of the host's link in each direction, in bytes per second
 * @param maxDescriptors descriptors that the process may open
 * @param domainsMatter whether requests should stay in the failure domain of their entry
 * @param ranksCompete whether requests of different ranks compete for too little room at times
 * @param limits limits set by the operators
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
        int maxDescriptors,
        boolean domainsMatter,
        boolean ranksCompete,
        OperatorLimits limits) {
    /** Descriptors that are no connections of callers: files, and a quarter of the rest. */
    private static final int FILE_DESCRIPTORS = 200;

    private static final double CALLER_SHARE = 0.75;

    /** Copies the collections. */
    public ManagedSettings {
        regions = Map.copyOf(regions);
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns the settings that another value of them has changed.
     *
     * @param other settings to compare with
     * @return names of the components that differ, none if the settings are equal
     */
    public List<String> changedKeys(ManagedSettings other) {
        return Arrays.stream(ManagedSettings.class.getRecordComponents())
                .filter(c -> !Objects.equals(value(c, this), value(c, other)))
                .map(RecordComponent::getName)
                .toList();
    }

    /**
     * Returns the address at which other daemons reach this process.
     *
     * @return IP address and port, separated by a colon
     */
    public String peerAddress() {
        return ip + ":" + peerPort;
    }

    /**
     * Returns the region of a failure domain.
     *
     * @param of failure domain
     * @return its region; a domain without a configured region forms a region of its own
     */
    public RegionId region(DomainId of) {
        return regions.getOrDefault(of, new RegionId(of.value()));
    }

    /**
     * Returns the region of this host.
     *
     * @return region of the host's failure domain
     */
    public RegionId region() {
        return region(domain);
    }

    /**
     * Returns how many connections of callers may be open, so that others can be opened to
     * upstreams, daemons and the store.
     *
     * @return at least 1
     */
    public int maxCallerConnections() {
        return (int) Math.max(1, (maxDescriptors - FILE_DESCRIPTORS) * CALLER_SHARE);
    }

    private static Object value(RecordComponent component, ManagedSettings of) {
        try {
            return component.getAccessor().invoke(of);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read " + component.getName(), e);
        }
    }

    /**
     * Limits set by the operators. Immutable.
     *
     * @param maxStaleness longest time from the end of trouble of the store until a daemon has its
     *     changes
     * @param maxDelay longest time from the confirmation of a desired state until a daemon has it,
     *     while the store serves
     * @param grace time between SIGTERM and SIGKILL
     * @param versionDeadline time after which a newly requested version of weights must be served
     *     everywhere
     * @param retryRatio retries allowed for each request, over all daemons
     * @param retrySlack retries allowed in addition, over all daemons in one window
     * @param retryWindow length of the sliding window of the retry budget
     * @param coldBound bound of the requests to cold upstreams
     */
    public record OperatorLimits(
            Duration maxStaleness,
            Duration maxDelay,
            Duration grace,
            Duration versionDeadline,
            double retryRatio,
            double retrySlack,
            Duration retryWindow,
            ColdBound coldBound) {}
}
