package org.papayawalk.daemon.swarm;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.ControlThread;

/**
 * Recovers chunks that an earlier process has staged, which need not be fetched or staged again.
 * Reads the staging area once, before the first download.
 *
 * <p>Confined to the weights thread; the staging area is read on a worker thread.
 */
final class StagedChunkRecovery {
    private final StagingArea stagingArea;

    private final Executor work;

    private final ControlThread thread;

    /** Verified chunks by index, until {@link #transferTo} passes them on. */
    private final Map<Integer, byte[]> recovered = new HashMap<>();

    /** Manifest that the chunks belong to, null before the search. */
    private Manifest searchedManifest;

    /** Whether the search has ended. */
    private boolean complete;

    /**
     * Creates a recovery that has not searched the staging area.
     *
     * @param stagingArea staging area to read
     * @param work executor for blocking calls
     * @param thread weights thread
     */
    StagedChunkRecovery(StagingArea stagingArea, Executor work, ControlThread thread) {
        this.stagingArea = stagingArea;
        this.work = work;
        this.thread = thread;
    }

    /**
     * Searches the staging area if that was not done yet, then runs the next step. While a search
     * is in progress, the call has no effect: the search runs its own next step when it ends.
     *
     * @param manifest manifest of the wanted version
     * @param next next step, run on the weights thread
     */
    void recoverThen(Manifest manifest, Runnable next) {
        if (complete) {
            next.run();
            return;
        }
        if (searchedManifest != null) {
            return;
        }
        searchedManifest = manifest;
        work.execute(
                () -> {
                    Map<Integer, byte[]> chunks = readVerified(manifest);
                    thread.execute(
                            () -> {
                                recovered.putAll(chunks);
                                complete = true;
                                next.run();
                            });
                });
    }

    /**
     * Puts the recovered chunks into the cache and drops them here.
     *
     * @param manifest manifest of the wanted version
     * @param cached version that receives the chunks
     * @return indexes of the chunks, empty if they belong to another version
     */
    Set<Integer> transferTo(Manifest manifest, CachedVersion cached) {
        if (!manifest.equals(searchedManifest)) {
            return Set.of();
        }
        Set<Integer> indexes = Set.copyOf(recovered.keySet());
        recovered.forEach(cached::put);
        recovered.clear();
        return indexes;
    }

    // Returns the staged chunks that match the manifest, by index.
    private Map<Integer, byte[]> readVerified(Manifest manifest) {
        Map<Integer, byte[]> chunks = new HashMap<>();
        for (int i = 0; i < manifest.chunkCount(); i++) {
            int index = i;
            stagingArea
                    .read(manifest, i)
                    .filter(d -> manifest.matches(index, d))
                    .ifPresent(d -> chunks.put(index, d));
        }
        return chunks;
    }
}
