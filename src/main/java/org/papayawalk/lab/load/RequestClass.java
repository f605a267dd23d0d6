package org.papayawalk.lab.load;

import java.time.Duration;
import java.util.List;

/**
 * Kind of request that callers send. Immutable.
 *
 * @param name name for the report
 * @param share requests of this kind, relative to the others
 * @param target time to the first event within which an answer earns its full worth
 * @param timeout time for which a caller waits in all
 * @param worth worth of an answer of mean size in time
 * @param lateWorth worth of one that is late
 * @param priority rank, 0 is the most urgent
 * @param prompt tokens of the prompt
 * @param events events of the answer
 */
record RequestClass(
        String name,
        double share,
        Duration target,
        Duration timeout,
        double worth,
        double lateWorth,
        int priority,
        LognormalDistribution prompt,
        LognormalDistribution events) {
    /** Kinds of both users that go to model engines. */
    static final List<RequestClass> USERS =
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

    /** Part of the worth that does not depend on the size. */
    private static final double FIXED_WORTH = 0.3;

    /** Most times that an answer is worth a mean one. */
    private static final double MOST_WORTH = 4;

    /** Prompt tokens that one answer token counts for. */
    private static final double ANSWER_TOKEN_WEIGHT = 10;

    /**
     * Returns what an answer is worth, relative to one of mean size.
     *
     * @param promptTokens tokens of the prompt
     * @param answerTokens tokens of the answer
     * @param tokensPerEvent tokens of an event
     * @return factor
     */
    double sizeFactor(double promptTokens, double answerTokens, int tokensPerEvent) {
        double size = promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
        double mean = prompt.mean() + ANSWER_TOKEN_WEIGHT * events.mean() * tokensPerEvent;
        return Math.min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * size / mean);
    }
}
