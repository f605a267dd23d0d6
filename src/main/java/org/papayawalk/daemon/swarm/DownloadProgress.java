package org.papayawalk.daemon.swarm;

import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.ChunkPlanner;
import org.papayawalk.core.weight.Manifest;

/**
 * Progress of the download of the wanted version. Immutable.
 *
 * @param digest digest of the manifest, none if no version is wanted
 * @param heldChunks number of chunks verified and staged
 * @param totalChunks number of chunks of the version, 0 until the manifest is known
 * @param staged whether all chunks are staged
 * @param delayReason why the download is delayed, empty if it is not
 */
public record DownloadProgress(
        Digest digest, int heldChunks, int totalChunks, boolean staged, String delayReason) {
    /** Progress while no version is wanted. */
    public static final DownloadProgress NONE = new DownloadProgress(Digest.NONE, 0, 0, false, "");

    /**
     * Creates the progress of a download. A complete download has no delay reason.
     *
     * @param digest digest of the manifest, none if no version is wanted
     * @param manifest manifest, null until it is known
     * @param download download, null until it is started
     * @param delayReason why the download is delayed, empty if it is not
     * @return progress
     */
    static DownloadProgress of(
            Digest digest, Manifest manifest, ChunkPlanner download, String delayReason) {
        int total = manifest == null ? 0 : manifest.chunkCount();
        int held = download == null ? 0 : download.heldCount();
        boolean staged = download != null && download.isComplete();
        return new DownloadProgress(digest, held, total, staged, staged ? "" : delayReason);
    }
}
