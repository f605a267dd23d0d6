package org.papayawalk.lab.load;

/**
 * Speeds and bounds of a model engine. Immutable.
 *
 * @param slots requests that it works on at once
 * @param queue requests that may wait in it
 * @param stepMillis time of a token step, in milliseconds
 * @param sequenceMillis time that each writing request adds to a step, in milliseconds
 * @param contextMillis time that 1,000 tokens of context add to a step, in milliseconds
 * @param promptTokensPerMilli speed at which prompts are read
 * @param pairMillis time of a million pairs of a token and an earlier one, in milliseconds
 * @param chunkTokens prompt tokens that are read in one step at the most
 * @param stepsPerPass steps of a pass with writers; each pass gives each of them one event
 * @param firstMillis time before a new request is looked at, in milliseconds
 */
record EngineProfile(
        int slots,
        int queue,
        double stepMillis,
        double sequenceMillis,
        double contextMillis,
        double promptTokensPerMilli,
        double pairMillis,
        int chunkTokens,
        int stepsPerPass,
        double firstMillis) {
    /** Engine of both users. */
    static final EngineProfile USERS =
            new EngineProfile(16, 32, 6.73, 0.0219, 0.0068, 30.6, 0.647, 2048, 6, 12);
}
