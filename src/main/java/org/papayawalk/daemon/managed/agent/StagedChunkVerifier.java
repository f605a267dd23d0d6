package org.papayawalk.daemon.managed.agent;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.papayawalk.core.Fault;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.log.Event;

/**
 * Reads staged chunks back before the engine loads them, and stages again those that are missing or
 * corrupt. Calls block; not thread-safe, so at most one worker may use it at a time.
 */
final class StagedChunkVerifier {
    // Reads in flight at the same time, so that a verification is short though a read takes long.
    private static final int READS_AT_ONCE = 16;

    // Per chunk.
    private static final int MAX_REPAIRS = 3;

    private final LocalEngine engine;

    /**
     * Creates a verifier.
     *
     * @param engine engine that holds the staged chunks
     */
    StagedChunkVerifier(LocalEngine engine) {
        this.engine = engine;
    }

    /**
     * Verifies all chunks of a version.
     *
     * @param staged version
     * @param copies verified chunks for repairs, by index; empty where this host has none
     * @return true if the engine holds every chunk as the manifest describes it
     */
    boolean verify(StagedVersion staged, IntFunction<Optional<byte[]>> copies) {
        int chunks = staged.manifest().chunkCount();
        for (int from = 0; from < chunks; from += READS_AT_ONCE) {
            int to = Math.min(chunks, from + READS_AT_ONCE);
            for (int i : unmatched(staged.manifest(), from, to)) {
                if (!verifyChunk(staged.version(), staged.manifest(), i, copies)) {
                    return false;
                }
            }
        }
        return true;
    }

    // Returns the chunks of a range that were not read as the manifest describes them.
    private int[] unmatched(Manifest manifest, int from, int to) {
        List<CompletableFuture<Either<Fault, Optional<byte[]>>>> reads =
                IntStream.range(from, to).mapToObj(i -> engine.startRead(manifest, i)).toList();
        return IntStream.range(from, to)
                .filter(
                        i ->
                                reads.get(i - from)
                                        .join()
                                        .getOrElse(Optional.empty())
                                        .filter(d -> manifest.matches(i, d))
                                        .isEmpty())
                .toArray();
    }

    private boolean verifyChunk(
            WeightVersion version,
            Manifest manifest,
            int index,
            IntFunction<Optional<byte[]>> copies) {
        for (int repairs = 0; repairs <= MAX_REPAIRS; repairs++) {
            Optional<byte[]> staged = engine.read(manifest, index);
            if (staged.isPresent() && manifest.matches(index, staged.get())) {
                return true;
            }
            Optional<byte[]> verified = copies.apply(index);
            Event.named("staged-chunk-bad")
                    .with("version", version)
                    .with("index", index)
                    .with("missing", staged.isEmpty())
                    .with("held", verified.isPresent())
                    .warn();
            if (verified.isEmpty()) {
                return false;
            }
            engine.stage(manifest, index, verified.get());
        }
        return false;
    }
}
