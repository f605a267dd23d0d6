package org.papayawalk.lab.standin;

/**
 * Active faults of a stand-in. Read and written as JSON. Immutable.
 *
 * @param away whether the stand-in is unreachable: connections are closed without a response
 * @param frozen whether new requests block until this is false again
 * @param slowMillis delay of every response in milliseconds
 * @param loseAnswerRatio share of requests that take effect but get no response, 0 to 1
 * @param corruptRatio share of chunks from the origin with a flipped bit, 0 to 1
 */
public record FaultSettings(
        boolean away,
        boolean frozen,
        long slowMillis,
        double loseAnswerRatio,
        double corruptRatio) {
    /** No active fault. */
    public static final FaultSettings NONE = new FaultSettings(false, false, 0, 0, 0);
}
