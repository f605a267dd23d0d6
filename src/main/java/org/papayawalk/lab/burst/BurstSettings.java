package org.papayawalk.lab.burst;

import java.util.Set;
import org.papayawalk.core.weight.DistributionPolicy;

/**
 * Settings of a burst. Immutable.
 *
 * @param hosts hosts that get the version
 * @param domains failure domains
 * @param regions regions
 * @param strategy way to distribute
 * @param policy policy of the product's way
 * @param seed seed of chance
 * @param sizeBytes length of the weights
 * @param chunkBytes length of a chunk
 * @param windowSeconds time in which the origin's link carries 4 copies and a host's link 2
 * @param requestsPerSecond live requests while the version spreads
 * @param maxUnavailable hosts of a failure domain that may switch at once
 * @param faults names of the faults
 * @param limitSeconds longest time to wait for all hosts
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
     * Returns the rate of the origin's link.
     *
     * @return bytes a second
     */
    double originRate() {
        return 4 * sizeBytes / windowSeconds;
    }

    /**
     * Returns the rate of a host's link each way.
     *
     * @return bytes a second
     */
    double hostRate() {
        return 2 * sizeBytes / windowSeconds;
    }

    /**
     * Returns the shortest time in which the links could bring the version to all hosts.
     *
     * @return seconds
     */
    double boundSeconds() {
        double s = sizeBytes;
        double host = s / hostRate();
        double origin = s / originRate();
        double all = hosts * s / (originRate() + hosts * hostRate());
        return Math.max(all, Math.max(host, origin));
    }

    /**
     * Tells whether a fault is switched on.
     *
     * @param name name of the fault
     * @return true if it is
     */
    boolean fault(String name) {
        return faults.contains(name);
    }
}
