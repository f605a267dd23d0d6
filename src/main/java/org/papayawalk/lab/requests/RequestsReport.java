package org.papayawalk.lab.requests;

import java.util.List;
import java.util.Map;

/**
 * Result of a request experiment. Percentiles are 50, 95 and 99, in milliseconds. Immutable.
 *
 * @param sent calls sent
 * @param answered calls answered whole
 * @param notRun calls that the system said did not run
 * @param unknown calls that may have run
 * @param ranTwice orders that ran more than once
 * @param falseNotRun orders that ran although their caller was last told that they had not
 * @param wrongOrTruncated answers that are wrong, or end early without saying so
 * @param faultsCaused faults caused
 * @param newWorkAfterDrainSeconds longest time from a notice of leaving to the last new work
 * @param interruptedByPlannedStop requests that ran when a planned stop ended
 * @param upstreamsCrashedByOneRequest most upstreams that one request crashed
 * @param firstToken times to the first event
 * @param firstTokenDirect the same straight to an engine
 * @param betweenTokens times between events
 * @param betweenTokensDirect the same straight to an engine
 * @param refusal times to a refusal
 * @param teamFirstTokenP99 99th percentile of the first event by team
 * @param tableWritesPerOrder rows written for each order
 * @param processCpuCores processor time of the process with all daemons, stand-ins and callers
 * @param heapMegabytes heap of the process at the end
 */
record RequestsReport(
        int sent,
        int answered,
        int notRun,
        int unknown,
        long ranTwice,
        long falseNotRun,
        long wrongOrTruncated,
        int faultsCaused,
        double newWorkAfterDrainSeconds,
        int interruptedByPlannedStop,
        int upstreamsCrashedByOneRequest,
        List<Double> firstToken,
        List<Double> firstTokenDirect,
        List<Double> betweenTokens,
        List<Double> betweenTokensDirect,
        List<Double> refusal,
        Map<String, Double> teamFirstTokenP99,
        double tableWritesPerOrder,
        double processCpuCores,
        double heapMegabytes) {}
