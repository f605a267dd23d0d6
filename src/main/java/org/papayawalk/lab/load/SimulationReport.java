package org.papayawalk.lab.load;

import java.util.Map;

/**
 * Result of one simulation. Immutable.
 *
 * @param policy way of placing and refusing
 * @param seed seed of chance
 * @param asked requests, each counted once however often it came back
 * @param inTime share answered within their targets
 * @param late share answered later
 * @param refusedShare share that was not answered
 * @param refusedTwice share that came back and was refused again
 * @param worth worth of the answers, as a share of the worth asked for
 * @param bound most worth that any way could have reached, as a share of the worth asked for
 * @param firstP50 median time from the first attempt to the first event, in milliseconds
 * @param firstP99 99th percentile of that time, in milliseconds
 * @param worthByClass worth by kind of request, as shares
 * @param worthBySize worth by fifth of size, the smallest requests first, as shares
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
