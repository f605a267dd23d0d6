package org.papayawalk.daemon.swarm;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.ChunkSource;
import org.papayawalk.log.Event;

/**
 * Counts from where the chunks of one download came, and logs its start and its completion.
 *
 * <p>Not thread-safe: confined to the weights thread.
 */
final class DownloadTally {
    private final Digest digest;

    private final Instant startedAt;

    private int fromOrigin;

    private int fromPeers;

    private boolean completed;

    /**
     * Logs the start of a download.
     *
     * @param digest digest of its manifest
     * @param chunks number of its chunks
     * @param now present time
     */
    DownloadTally(Digest digest, int chunks, Instant now) {
        this.digest = digest;
        this.startedAt = now;
        Event.named("download-started")
                .with("digest", digest.shortText())
                .with("chunks", chunks)
                .info();
    }

    /**
     * Counts a verified chunk.
     *
     * @param source where it came from
     */
    void received(ChunkSource source) {
        if (source.isOrigin()) {
            fromOrigin++;
        } else {
            fromPeers++;
        }
    }

    /**
     * Logs the completion, once.
     *
     * @param now present time
     */
    void complete(Instant now) {
        if (completed) {
            return;
        }
        completed = true;
        Event.named("download-complete")
                .with("digest", digest.shortText())
                .with("from_origin", fromOrigin)
                .with("from_peers", fromPeers)
                .with("ms", Duration.between(startedAt, now).toMillis())
                .info();
    }
}
