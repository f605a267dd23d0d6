package org.papayawalk.daemon.swarm;

import java.time.Duration;
import java.util.BitSet;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.ControlThread;

/**
 * Writes verified chunks to the staging area. Retries failed writes while their version is wanted.
 *
 * <p>Not thread-safe: confined to the weights thread.
 */
final class StagingWriter {
    /** Delay between a failed write and its retry. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final StagingArea stagingArea;

    private final Executor work;

    private final ControlThread thread;

    private final Runnable onFailure;

    /** Indexes of the chunks whose write has started since the last reset. */
    private final BitSet started = new BitSet();

    /**
     * Creates a writer.
     *
     * @param stagingArea staging area to write to
     * @param work executor for blocking calls
     * @param thread weights thread
     * @param onFailure called on the weights thread after each failed write
     */
    StagingWriter(
            StagingArea stagingArea, Executor work, ControlThread thread, Runnable onFailure) {
        this.stagingArea = stagingArea;
        this.work = work;
        this.thread = thread;
        this.onFailure = onFailure;
    }

    /** Resets the staging area. All chunks must be written again. */
    void reset() {
        stagingArea.reset();
        started.clear();
    }

    /**
     * Returns whether the write of a chunk has started since the last reset.
     *
     * @param index index of the chunk
     * @return true if no further copy of the chunk is needed
     */
    boolean hasStarted(int index) {
        return started.get(index);
    }

    /**
     * Writes a chunk.
     *
     * @param chunk chunk to write
     * @param current returns whether the download of the chunk is the current one
     * @param done called on the weights thread when the chunk is written
     */
    void write(Chunk chunk, BooleanSupplier current, Runnable done) {
        if (!current.getAsBoolean()) {
            return;
        }
        started.set(chunk.index());
        work.execute(
                () -> {
                    boolean written =
                            stagingArea.write(
                                    chunk.digest(), chunk.manifest(), chunk.index(), chunk.data());
                    thread.execute(() -> onWritten(chunk, current, done, written));
                });
    }

    private void onWritten(Chunk chunk, BooleanSupplier current, Runnable done, boolean written) {
        if (!current.getAsBoolean()) {
            return;
        }
        if (written) {
            done.run();
            return;
        }
        onFailure.run();
        thread.schedule(RETRY_DELAY, () -> write(chunk, current, done));
    }

    /**
     * Verified chunk. Immutable by convention: the bytes are not changed.
     *
     * @param digest digest of the manifest
     * @param manifest manifest of the version
     * @param index index of the chunk
     * @param data bytes of the chunk
     */
    record Chunk(Digest digest, Manifest manifest, int index, byte[] data) {}
}
