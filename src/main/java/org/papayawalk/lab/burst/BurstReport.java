package org.papayawalk.lab.burst;

/**
 * Result of a burst. Immutable.
 *
 * @param strategy way to distribute
 * @param policy policy of the product's way
 * @param hosts hosts at the start
 * @param survivors hosts that were not killed
 * @param copySeconds time until all survivors held the version, -1 if not in time
 * @param timeSeconds time until all survivors served it, -1 if not in time
 * @param halfSeconds time until half of the hosts served it
 * @param ninetySeconds time until 90% of the hosts served it
 * @param boundSeconds shortest time that the links allow
 * @param ratio time to the bound
 * @param originCopies copies that left the origin
 * @param crossRegionCopies copies on the link between regions that carried most
 * @param hostsServing survivors that serve the version
 * @param corruptedChunks chunks that arrived corrupted
 * @param partialOrMixed answers that are not those of the version that they name
 * @param requests live requests sent
 * @param requestsFailed live requests without a whole answer
 * @param latencyP99QuietMillis latency before the burst
 * @param latencyP99BurstMillis latency during the burst
 * @param controlBytesPerHostSecond bytes of control messages
 * @param controlCpuShare processor time of control and weights threads for each host, as a share of
 *     a core
 * @param peakHeapMegabytes peak heap of the process with all hosts
 */
record BurstReport(
        String strategy,
        String policy,
        int hosts,
        long survivors,
        double copySeconds,
        double timeSeconds,
        double halfSeconds,
        double ninetySeconds,
        double boundSeconds,
        double ratio,
        double originCopies,
        double crossRegionCopies,
        long hostsServing,
        long corruptedChunks,
        int partialOrMixed,
        int requests,
        int requestsFailed,
        double latencyP99QuietMillis,
        double latencyP99BurstMillis,
        double controlBytesPerHostSecond,
        double controlCpuShare,
        double peakHeapMegabytes) {}
