package org.papayawalk.daemon.agent;

import org.papayawalk.core.id.Digest;

/**
 * How far the wanted version is. Immutable.
 *
 * @param digest digest of the manifest, none if no version is wanted
 * @param held chunks verified
 * @param total chunks in all, 0 while the manifest is unknown
 * @param staged whether all chunks were written to the engine
 * @param remark what keeps the version back, empty if nothing does
 */
public record WeightProgress(Digest digest, int held, int total, boolean staged, String remark) {
    /** Progress when no version is wanted. */
    public static final WeightProgress NONE = new WeightProgress(Digest.NONE, 0, 0, false, "");
}
