package org.papayawalk.lab.burst;

/**
 * Result of a burst experiment. Immutable.
 *
 * @param strategy name of the distribution strategy
 * @param policy name of the policy of the strategy {@code SWARM}
 * @param hosts number of hosts at the start
 * @param survivors number of hosts that were not killed
 * @param copySeconds time until all survivors held the version, in seconds; -1 if the limit was
 *     exceeded
 * @param timeSeconds time until all survivors served it, in seconds; -1 if the limit was exceeded
 * @param halfSeconds time until half of all hosts served it, in seconds; -1 if the limit was
 *     exceeded
 * @param ninetySeconds time until 90% of all hosts served it, in seconds; -1 if the limit was
 *     exceeded
 * @param boundSeconds lower bound of the time that the link rates allow, in seconds
 * @param ratio {@code timeSeconds} divided by {@code boundSeconds}
 * @param originCopies chunk bytes sent by the origin, in copies of the version
 * @param crossRegionCopies bytes on the most used link between regions, in copies of the version
 * @param hostsServing number of survivors that serve the version
 * @param corruptedChunks number of chunks that the fault {@code corrupt} changed
 * @param partialOrMixed number of answers whose text does not match the version that they name
 * @param requests number of live requests sent
 * @param requestsFailed number of live requests without a complete answer
 * @param latencyP99QuietMillis 99th percentile of the latency before the burst, in milliseconds
 * @param latencyP99BurstMillis 99th percentile of the latency during the burst, in milliseconds
 * @param controlBytesPerHostSecond bytes of control messages per host and second
 * @param controlCpuShare CPU time of the control and weight threads per host, as a share of a core
 * @param peakHeapMegabytes peak heap of the process with all hosts, in megabytes
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
