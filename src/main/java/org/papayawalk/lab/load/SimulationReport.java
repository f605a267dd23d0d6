package org.papayawalk.lab.load;

import java.util.Map;

/**
 * Result of one simulation. Immutable.
 *
 * @param policy name of the policy
 * @param seed seed of the random generators
 * @param asked number of requests, without retries
 * @param inTime share answered within their target latency
 * @param late share answered later
 * @param refusedShare share without a complete answer
 * @param refusedTwice share without a complete answer although the caller retried
 * @param worth worth of the answers, as a share of the worth of all requests
 * @param bound upper bound of the worth for any policy, as a share of the worth of all requests
 * @param firstP50 median time from the first attempt to the first event, in milliseconds
 * @param firstP99 99th percentile of that time, in milliseconds
 * @param worthByClass share of the worth by request class
 * @param worthBySize share of the worth by fifth of the engine time needed, smallest requests first
 */
record SimulationReport(
        String policy,
        long seed,
        int asked,
        double inTime,
        double late,
        double refusedShare,
        double refusedTwice,
        double worth,
        double bound,
        long firstP50,
        long firstP99,
        Map<String, Double> worthByClass,
        Map<String, Double> worthBySize) {}
