package org.papayawalk.lab.load;

import java.time.Duration;
import java.util.List;

/**
 * What is simulated. Immutable.
 *
 * @param entries entries, each with its own view
 * @param engines engines
 * @param engineTimes speeds and bounds of an engine
 * @param classes kinds of request
 * @param perSecond requests a second at the start, without those that come back
 * @param burst factor of the requests between a third and two thirds of the time
 * @param length time for which requests come
 * @param outages times at which engines close for new requests
 * @param impatientShare share of the callers that come back at once
 * @param unevenness power by which some entries get more than others, 1 for none
 */
record LoadScenario(
        int entries,
        int engines,
        EngineProfile engineTimes,
        List<RequestClass> classes,
        double perSecond,
        double burst,
        Duration length,
        List<Outage> outages,
        double impatientShare,
        double unevenness) {

    /**
     * Time during which some engines take no requests. Immutable.
     *
     * @param from when it begins, from the start
     * @param length how long it lasts
     * @param share share of the engines
     */
    record Outage(Duration from, Duration length, double share) {}

    /** Copies the lists. */
    LoadScenario {
        classes = List.copyOf(classes);
        outages = List.copyOf(outages);
    }

    /**
     * Returns the requests a second.
     *
     * @param at time from the start
     * @return requests that come for the first time
     */
    double rate(Duration at) {
        long third = length.toMillis() / 3;
        boolean inBurst = at.toMillis() >= third && at.toMillis() < 2 * third;
        return inBurst ? perSecond * burst : perSecond;
    }
}
