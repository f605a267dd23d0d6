package org.papayawalk.lab.config;

/**
 * Result of a configuration experiment. Immutable.
 *
 * @param daemons daemons
 * @param accepted changes accepted
 * @param conflicts changes refused because another came first
 * @param unknown changes whose outcome could not be learned
 * @param inForceP50Seconds time from acceptance to in force on all daemons, median
 * @param inForceP99Seconds the same, 99th percentile
 * @param reverts times that a daemon went back to an earlier version
 * @param acceptedButLost accepted changes that were not in force everywhere in time
 * @param tableReadsPerSecond reads of the table service
 * @param tableWritesPerSecond rows written
 * @param idleControlBytesPerDaemonSecond bytes of control messages without changes
 * @param idleControlCpuShare processor time of control threads without changes, share of a core
 * @param controlBytesPerDaemonSecond bytes of control messages with changes
 * @param heapKilobytesPerDaemon heap of the process after a collection, for each daemon
 */
record ConfigReport(
        int daemons,
        int accepted,
        int conflicts,
        int unknown,
        double inForceP50Seconds,
        double inForceP99Seconds,
        long reverts,
        int acceptedButLost,
        double tableReadsPerSecond,
        double tableWritesPerSecond,
        double idleControlBytesPerDaemonSecond,
        double idleControlCpuShare,
        double controlBytesPerDaemonSecond,
        double heapKilobytesPerDaemon) {}
