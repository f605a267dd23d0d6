package org.papayawalk.lab.burst;

import java.util.Set;
import org.papayawalk.core.weight.DistributionPolicy;

/**
 * Settings of a burst experiment. Immutable.
 *
 * @param hosts number of hosts that receive the version
 * @param domains number of failure domains
 * @param regions number of regions
 * @param strategy distribution strategy
 * @param policy policy of the strategy {@code SWARM}
 * @param seed seed of the random generators
 * @param sizeBytes size of the weights, in bytes
 * @param chunkBytes size of a chunk, in bytes
 * @param windowSeconds time in which the link of the origin carries 4 copies of the weights and the
 *     link of a host 2, in seconds
 * @param requestsPerSecond rate of live requests while the version spreads
 * @param maxUnavailable maximum number of hosts of a failure domain that switch at once
 * @param faults names of the faults to inject
 * @param limitSeconds longest time to wait for all hosts, in seconds
 */
record BurstSettings(
        int hosts,
        int domains,
        int regions,
        Strategy strategy,
        DistributionPolicy policy,
        long seed,
        long sizeBytes,
        int chunkBytes,
        double windowSeconds,
        double requestsPerSecond,
        int maxUnavailable,
        Set<String> faults,
        int limitSeconds) {

    /**
     * Returns the rate of the link of the origin. Links between regions have the same rate.
     *
     * @return bytes per second
     */
    double originBytesPerSecond() {
        return 4 * sizeBytes / windowSeconds;
    }

    /**
     * Returns the rate of the link of a host, in each direction.
     *
     * @return bytes per second
     */
    double hostBytesPerSecond() {
        return 2 * sizeBytes / windowSeconds;
    }

    /**
     * Returns a lower bound of the time in which the links can carry the version to all hosts.
     *
     * @return seconds
     */
    double boundSeconds() {
        double size = sizeBytes;
        double hostSeconds = size / hostBytesPerSecond();
        double originSeconds = size / originBytesPerSecond();
        double totalSeconds =
                hosts * size / (originBytesPerSecond() + hosts * hostBytesPerSecond());
        return Math.max(totalSeconds, Math.max(hostSeconds, originSeconds));
    }

    /**
     * Tells whether a fault is to be injected.
     *
     * @param name name of the fault
     * @return true if the settings contain it
     */
    boolean hasFault(String name) {
        return faults.contains(name);
    }
}
