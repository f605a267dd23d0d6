package org.papayawalk.daemon.managed.agent;

import java.util.Optional;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.daemon.swarm.Swarm;
import org.papayawalk.log.Event;

/**
 * Reads staged chunks back before the engine loads them, and stages again those that are missing or
 * corrupt. Calls block; not thread-safe, so at most one worker may use it at a time.
 */
final class StagedChunkVerifier {
    // Per chunk.
    private static final int MAX_REPAIRS = 3;

    private final LocalEngine engine;

    private final Swarm swarm;

    /**
     * Creates a verifier.
     *
     * @param engine engine that holds the staged chunks
     * @param swarm source of verified chunks for repairs
     */
    StagedChunkVerifier(LocalEngine engine, Swarm swarm) {
        this.engine = engine;
        this.swarm = swarm;
    }

    /**
     * Verifies all chunks of a version.
     *
     * @param staged version
     * @return true if the engine holds every chunk as the manifest describes it
     */
    boolean verify(StagedVersion staged) {
        for (int i = 0; i < staged.manifest().chunkCount(); i++) {
            if (!verifyChunk(staged.version(), staged.manifest(), i)) {
                return false;
            }
        }
        return true;
    }

    private boolean verifyChunk(WeightVersion version, Manifest manifest, int index) {
        for (int repairs = 0; repairs <= MAX_REPAIRS; repairs++) {
            Optional<byte[]> staged = engine.read(manifest, index);
            if (staged.isPresent() && manifest.matches(index, staged.get())) {
                return true;
            }
            Optional<byte[]> verified = swarm.chunk(version.digest(), index).join();
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
