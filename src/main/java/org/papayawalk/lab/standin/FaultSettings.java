package org.papayawalk.lab.standin;

/**
 * Faults of a stand-in that are switched on. Immutable.
 *
 * @param away whether connections are closed without an answer
 * @param frozen whether requests hang
 * @param slowMillis delay of every answer in milliseconds
 * @param loseAnswerRatio share of requests that take effect without an answer, 0 to 1
 * @param corruptRatio share of bodies of weights that are corrupted, 0 to 1
 */
public record FaultSettings(
        boolean away,
        boolean frozen,
        long slowMillis,
        double loseAnswerRatio,
        double corruptRatio) {
    /** No faults. */
    public static final FaultSettings NONE = new FaultSettings(false, false, 0, 0, 0);
}
