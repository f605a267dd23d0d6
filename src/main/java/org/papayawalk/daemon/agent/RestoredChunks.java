package org.papayawalk.daemon.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.ControlThread;

/**
 * Chunks that an earlier process staged. They are looked for once, before the first download, and
 * need not be fetched or staged again. Confined to the weights thread; reading runs on a worker.
 */
final class RestoredChunks {
    /** Reads staged chunks. */
    private final Stager stager;

    /** Runs what blocks. */
    private final Executor work;

    /** Weights thread. */
    private final ControlThread thread;

    /** Chunks found, by index. */
    private final Map<Integer, byte[]> found = new HashMap<>();

    /** Manifest that they belong to; null before they were looked for. */
    private Manifest foundFor;

    /** Whether they have been looked for to the end. */
    private boolean done;

    /**
     * Creates an empty set.
     *
     * @param stager reads staged chunks
     * @param work runs what blocks
     * @param thread weights thread
     */
    RestoredChunks(Stager stager, Executor work, ControlThread thread) {
        this.stager = stager;
        this.work = work;
        this.thread = thread;
    }

    /**
     * Looks for chunks if that was not done yet, then goes on.
     *
     * @param manifest manifest of the version wanted
     * @param next what follows
     */
    void before(Manifest manifest, Runnable next) {
        if (done) {
            next.run();
            return;
        }
        if (foundFor != null) {
            return;
        }
        foundFor = manifest;
        work.execute(
                () -> {
                    Map<Integer, byte[]> chunks = read(manifest);
                    thread.execute(
                            () -> {
                                found.putAll(chunks);
                                done = true;
                                next.run();
                            });
                });
    }

    /**
     * Hands the chunks over.
     *
     * @param manifest manifest of the version wanted
     * @param held takes the chunks
     * @return indexes of the chunks, empty if they belong to another version
     */
    Set<Integer> takeOver(Manifest manifest, HeldVersion held) {
        if (!manifest.equals(foundFor)) {
            return Set.of();
        }
        Set<Integer> indexes = Set.copyOf(found.keySet());
        found.forEach(held::put);
        found.clear();
        return indexes;
    }

    /**
     * Reads the staged chunks that are whole.
     *
     * @param manifest manifest of the version wanted
     * @return bytes by index
     */
    private Map<Integer, byte[]> read(Manifest manifest) {
        Map<Integer, byte[]> chunks = new HashMap<>();
        for (int i = 0; i < manifest.chunkCount(); i++) {
            int index = i;
            stager.read(manifest, i)
                    .filter(d -> manifest.matches(index, d))
                    .ifPresent(d -> chunks.put(index, d));
        }
        return chunks;
    }
}
