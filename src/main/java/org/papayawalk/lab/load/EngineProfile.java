package org.papayawalk.lab.load;

/**
 * Speed and capacity of a simulated engine. Immutable.
 *
 * @param slots requests that are processed at the same time
 * @param queueCapacity requests that may wait in the queue of the engine
 * @param stepMillis base time of one token step, in milliseconds
 * @param stepMillisPerSequence time that each request that writes adds to a step, in milliseconds
 * @param stepMillisPerThousandTokens time that 1,000 tokens of context add to a step, in
 *     milliseconds
 * @param promptTokensPerMilli prompt tokens read per millisecond
 * @param millisPerMillionPairs attention time for a million pairs of a prompt token and an earlier
 *     token, in milliseconds
 * @param promptTokensPerStep maximum number of prompt tokens read in one step
 * @param stepsPerPass steps of a pass with requests that write; a pass gives each of them one event
 * @param wakeUpMillis time from the arrival of a request at an idle engine to its first pass, in
 *     milliseconds
 */
record EngineProfile(
        int slots,
        int queueCapacity,
        double stepMillis,
        double stepMillisPerSequence,
        double stepMillisPerThousandTokens,
        double promptTokensPerMilli,
        double millisPerMillionPairs,
        int promptTokensPerStep,
        int stepsPerPass,
        double wakeUpMillis) {
    /** Profile of engines that write an event of 6 tokens in about 40 ms. */
    static final EngineProfile PRODUCTION =
            new EngineProfile(16, 32, 6.73, 0.0219, 0.0068, 30.6, 0.647, 2048, 6, 12);

    /** Profile of slower engines, whose steps also grow more with the context. */
    static final EngineProfile SLOW =
            new EngineProfile(16, 32, 9.27, 0.0232, 0.0322, 20.7, 1.18, 2048, 5, 12);

    /** Profile of slower engines with few slots and a queue of twice as many. */
    static final EngineProfile FEW_SLOTS =
            new EngineProfile(8, 16, 10.1, 0.0328, 0.0102, 20.4, 0.971, 2048, 7, 18);
}
