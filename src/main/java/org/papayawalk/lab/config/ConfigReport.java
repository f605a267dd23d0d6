package org.papayawalk.lab.config;

/**
 * Result of a configuration experiment. Printed as JSON under its component names. Immutable.
 *
 * @param daemons number of daemons
 * @param accepted number of accepted changes
 * @param conflicts number of changes refused because a competing change was accepted first
 * @param unknown number of changes whose outcome is unknown
 * @param inForceP50Seconds time from submitting a change until it is in force on all daemons,
 *     median, in seconds
 * @param inForceP99Seconds 99th percentile of the same time, in seconds
 * @param reverts number of observations of a daemon at a lower version than before
 * @param acceptedButLost number of accepted changes that were not in force on all daemons within
 *     the timeout
 * @param tableReadsPerSecond reads at the table service per second, while changes are made
 * @param tableWritesPerSecond rows of configurations and of the audit trail written per second,
 *     while changes are made
 * @param idleControlBytesPerDaemonSecond bytes of control messages per daemon and second, without
 *     changes
 * @param idleControlCpuShare processor time for control per daemon without changes, as a ratio of
 *     one core
 * @param controlBytesPerDaemonSecond bytes of control messages per daemon and second, while changes
 *     are made
 * @param heapKilobytesPerDaemon heap in use by the process after a garbage collection, divided by
 *     the number of daemons, in units of 1000 bytes
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
