package org.papayawalk.lab.load;

import java.time.Duration;
import java.util.List;

/**
 * Class of requests with the same sizes, target and worth. Immutable.
 *
 * @param name name in the report
 * @param share number of requests of this class, relative to the other classes
 * @param targetLatency time to the first event within which an answer has its full worth
 * @param timeout time from the first attempt after which the caller stops waiting
 * @param worth worth of an answer of mean size that is in time
 * @param lateWorth worth of an answer of mean size that is late
 * @param priority priority, 0 is the most urgent
 * @param promptTokens distribution of the prompt length, in tokens
 * @param events distribution of the answer length, in events
 */
record RequestClass(
        String name,
        double share,
        Duration targetLatency,
        Duration timeout,
        double worth,
        double lateWorth,
        int priority,
        LognormalDistribution promptTokens,
        LognormalDistribution events) {
    /** Classes of the requests that are sent to {@link EngineProfile#PRODUCTION}. */
    static final List<RequestClass> PRODUCTION =
            List.of(
                    new RequestClass(
                            "long",
                            99,
                            Duration.ofMillis(400),
                            Duration.ofSeconds(6),
                            2.5,
                            0.62,
                            1,
                            new LognormalDistribution(1290, 1.0, 3880),
                            new LognormalDistribution(24, 0.89, 60)),
                    new RequestClass(
                            "middle",
                            71,
                            Duration.ofMillis(400),
                            Duration.ofSeconds(6),
                            2.1,
                            0.53,
                            1,
                            new LognormalDistribution(787, 1.0, 3330),
                            new LognormalDistribution(24, 0.69, 60)),
                    new RequestClass(
                            "short",
                            83,
                            Duration.ofMillis(300),
                            Duration.ofSeconds(6),
                            1.3,
                            0.33,
                            1,
                            new LognormalDistribution(607, 0.96, 2640),
                            new LognormalDistribution(11.6, 0.9, 60)));

    /** Classes of the requests that are sent to {@link EngineProfile#SLOW}. */
    static final List<RequestClass> LONGER_TARGETS =
            List.of(
                    new RequestClass(
                            "long",
                            57,
                            Duration.ofMillis(500),
                            Duration.ofSeconds(6),
                            2.4,
                            0.6,
                            1,
                            new LognormalDistribution(1290, 1.0, 3880),
                            new LognormalDistribution(20.3, 0.89, 50)),
                    new RequestClass(
                            "middle",
                            43,
                            Duration.ofMillis(400),
                            Duration.ofSeconds(6),
                            2.0,
                            0.49,
                            1,
                            new LognormalDistribution(787, 1.0, 3330),
                            new LognormalDistribution(20, 0.69, 50)),
                    new RequestClass(
                            "short",
                            40,
                            Duration.ofMillis(400),
                            Duration.ofSeconds(6),
                            1.5,
                            0.37,
                            1,
                            new LognormalDistribution(607, 0.96, 2640),
                            new LognormalDistribution(14, 0.9, 50)));

    /** Classes of the requests that are sent to {@link EngineProfile#FEW_SLOTS}. */
    static final List<RequestClass> SHORT_ANSWERS =
            List.of(
                    new RequestClass(
                            "long",
                            476,
                            Duration.ofMillis(600),
                            Duration.ofSeconds(6),
                            2.3,
                            0.57,
                            1,
                            new LognormalDistribution(1290, 1.0, 3880),
                            new LognormalDistribution(14.2, 0.89, 35.5)),
                    new RequestClass(
                            "middle",
                            329,
                            Duration.ofMillis(500),
                            Duration.ofSeconds(6),
                            2.0,
                            0.51,
                            1,
                            new LognormalDistribution(787, 1.0, 3330),
                            new LognormalDistribution(14.2, 0.69, 35.5)),
                    new RequestClass(
                            "short",
                            306,
                            Duration.ofMillis(500),
                            Duration.ofSeconds(6),
                            1.5,
                            0.38,
                            1,
                            new LognormalDistribution(607, 0.96, 2640),
                            new LognormalDistribution(9.92, 0.9, 35.5)));

    /** Share of the worth that does not depend on the size. */
    private static final double FIXED_WORTH_SHARE = 0.3;

    /** Maximum worth of an answer relative to one of mean size. */
    private static final double MAX_SIZE_FACTOR = 4;

    /** Number of prompt tokens that count as much as one answer token. */
    private static final double ANSWER_TOKEN_WEIGHT = 10;

    /**
     * Returns the worth of an answer relative to one of mean size.
     *
     * @param requestTokens tokens of the prompt
     * @param answerTokens tokens of the answer
     * @param tokensPerEvent tokens of an event
     * @return factor, 1 for a request of mean size
     */
    double sizeFactor(double requestTokens, double answerTokens, int tokensPerEvent) {
        double size = requestTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
        double mean = promptTokens.mean() + ANSWER_TOKEN_WEIGHT * events.mean() * tokensPerEvent;
        return Math.min(MAX_SIZE_FACTOR, FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * size / mean);
    }
}
