package org.papayawalk.daemon.standalone.agent;

import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.ChunkPlanner;
import org.papayawalk.core.weight.Manifest;

/**
 * How far the wanted version is. Immutable.
 *
 * @param digest digest of the manifest, none if no version is wanted
 * @param held chunks verified
 * @param total chunks in all, 0 while the manifest is unknown
 * @param staged whether all chunks were written to the engine
 * @param remark what keeps the version back, empty if nothing does
 */
public record DownloadProgress(Digest digest, int held, int total, boolean staged, String remark) {
    /** Progress when no version is wanted. */
    public static final DownloadProgress NONE = new DownloadProgress(Digest.NONE, 0, 0, false, "");

    /**
     * Describes a download.
     *
     * @param digest version wanted
     * @param manifest its manifest, null before it is known
     * @param download its download, null before it began
     * @param remark what holds it up, empty for nothing
     * @return progress
     */
    static DownloadProgress of(
            Digest digest, Manifest manifest, ChunkPlanner download, String remark) {
        int total = manifest == null ? 0 : manifest.chunkCount();
        int held = download == null ? 0 : download.heldCount();
        boolean staged = download != null && download.isComplete();
        return new DownloadProgress(digest, held, total, staged, staged ? "" : remark);
    }
}
