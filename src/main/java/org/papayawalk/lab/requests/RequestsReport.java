package org.papayawalk.lab.requests;

import java.util.List;
import java.util.Map;

/**
 * Result of a request experiment, written as JSON. Lists of times hold the 50th, 95th and 99th
 * percentile in milliseconds. Immutable.
 *
 * @param sent calls sent
 * @param answered calls with a complete answer
 * @param notRun calls that the system reported as not run
 * @param unknown calls that may have run
 * @param ranTwice orders that ran more than once, must be 0
 * @param falseNotRun orders that ran although last reported as not run, must be 0
 * @param wrongOrTruncated answers that are wrong or end early without an error event, must be 0
 * @param faultsCaused faults injected
 * @param newWorkAfterDrainSeconds longest time from the start of a drain to the last new request at
 *     the engine
 * @param interruptedByPlannedStop requests in flight when a drained agent was stopped
 * @param upstreamsCrashedByOneRequest highest number of upstream crashes by one poison request
 * @param firstToken time to the first event, through an entry
 * @param firstTokenDirect time to the first event, directly from an engine
 * @param betweenTokens time between events, through an entry
 * @param betweenTokensDirect time between events, directly from an engine
 * @param refusal time to a refusal
 * @param teamFirstTokenP99 99th percentile of the time to the first event in milliseconds, by team
 * @param tableWritesPerOrder mean number of rows written for non-idempotent calls per order
 * @param processCpuCores mean CPU cores used by the process with all daemons, stand-ins and callers
 * @param heapMegabytes used heap of the process at the end
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
