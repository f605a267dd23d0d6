package org.papayawalk.daemon.managed.agent;

import java.util.Optional;
import java.util.function.IntFunction;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.log.Event;

/**
 * Reads staged chunks back before the engine loads them, and stages again those that are missing or
 * corrupt. Calls block; not thread-safe, so at most one worker may use it at a time.
 */
final class StagedChunkVerifier {
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
        for (int i = 0; i < staged.manifest().chunkCount(); i++) {
            if (!verifyChunk(staged.version(), staged.manifest(), i, copies)) {
                return false;
            }
        }
        return true;
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
