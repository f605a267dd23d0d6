package org.papayawalk.lab.load;

import java.time.Duration;
import java.util.List;

/**
 * Demand, engines and entries of a simulation. Immutable.
 *
 * @param entries number of entries; each has its own view of the load
 * @param engines number of engines
 * @param engineProfile speed and capacity of each engine
 * @param requestClasses classes of request
 * @param requestsPerSecond requests per second outside the burst, without retries
 * @param burstFactor factor of the demand in the middle third of the duration
 * @param duration time during which new requests arrive
 * @param outages times at which engines reject new requests
 * @param impatientShare share of the callers that retry at once, 0 to 1
 * @param entrySkew exponent of the distribution of requests over entries; 1 for a uniform one, more
 *     for a skewed one
 */
record LoadScenario(
        int entries,
        int engines,
        EngineProfile engineProfile,
        List<RequestClass> requestClasses,
        double requestsPerSecond,
        double burstFactor,
        Duration duration,
        List<Outage> outages,
        double impatientShare,
        double entrySkew) {

    /**
     * Time during which some engines reject new requests. Immutable.
     *
     * @param start start of the outage, from the start of the simulation
     * @param duration duration of the outage
     * @param share share of the engines, 0 to 1
     */
    record Outage(Duration start, Duration duration, double share) {}

    /** Copies the lists. */
    LoadScenario {
        requestClasses = List.copyOf(requestClasses);
        outages = List.copyOf(outages);
    }

    /**
     * Returns the arrival rate of new requests.
     *
     * @param elapsed time from the start of the simulation
     * @return requests per second, without retries
     */
    double arrivalRate(Duration elapsed) {
        long thirdMillis = duration.toMillis() / 3;
        boolean inBurst = elapsed.toMillis() >= thirdMillis && elapsed.toMillis() < 2 * thirdMillis;
        return inBurst ? requestsPerSecond * burstFactor : requestsPerSecond;
    }
}
