package org.papayawalk.daemon.agent;

import java.time.Duration;
import java.util.BitSet;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.ControlThread;

/**
 * Writes verified chunks to the engine and repeats writes that fail, as long as their version is
 * wanted. Not thread-safe: confined to the weights thread.
 */
final class StagingLine {
    /** Pause before a write that failed is tried again. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(300);

    /** Writes chunks. */
    private final Stager stager;

    /** Threads for calls that block. */
    private final Executor work;

    /** Weights thread. */
    private final ControlThread thread;

    /** Learns of writes that failed. */
    private final Runnable failed;

    /** Chunks written or being written since the last reset. */
    private final BitSet begun = new BitSet();

    /**
     * Creates a line.
     *
     * @param stager writes chunks
     * @param work threads for calls that block
     * @param thread weights thread
     * @param failed learns on the weights thread of writes that failed
     */
    StagingLine(Stager stager, Executor work, ControlThread thread, Runnable failed) {
        this.stager = stager;
        this.work = work;
        this.thread = thread;
        this.failed = failed;
    }

    /** Forgets what the engine has. */
    void reset() {
        stager.reset();
        begun.clear();
    }

    /**
     * Tells whether a chunk was written or is being written.
     *
     * @param index index of the chunk
     * @return true if no further copy of it is needed
     */
    boolean contains(int index) {
        return begun.get(index);
    }

    /**
     * Writes a chunk.
     *
     * @param chunk chunk to write
     * @param wanted tells whether the chunk's download is still the present one
     * @param done runs on the weights thread once the engine has the chunk
     */
    void write(Chunk chunk, BooleanSupplier wanted, Runnable done) {
        if (!wanted.getAsBoolean()) {
            return;
        }
        begun.set(chunk.index());
        work.execute(
                () -> {
                    boolean written =
                            stager.write(
                                    chunk.digest(), chunk.manifest(), chunk.index(), chunk.data());
                    thread.execute(() -> ended(chunk, wanted, done, written));
                });
    }

    /**
     * Takes the end of a write.
     *
     * @param chunk chunk
     * @param wanted tells whether the chunk's download is still the present one
     * @param done runs once the engine has the chunk
     * @param written whether the engine has it
     */
    private void ended(Chunk chunk, BooleanSupplier wanted, Runnable done, boolean written) {
        if (!wanted.getAsBoolean()) {
            return;
        }
        if (written) {
            done.run();
            return;
        }
        failed.run();
        thread.schedule(RETRY_PAUSE, () -> write(chunk, wanted, done));
    }

    /**
     * Verified chunk. Immutable by convention: the bytes are not changed.
     *
     * @param digest digest of the manifest
     * @param manifest manifest
     * @param index index of the chunk
     * @param data its bytes
     */
    record Chunk(Digest digest, Manifest manifest, int index, byte[] data) {}
}
