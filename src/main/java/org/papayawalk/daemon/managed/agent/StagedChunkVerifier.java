package org.papayawalk.daemon.managed.agent;

import java.util.Optional;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.daemon.standalone.agent.Swarm;
import org.papayawalk.log.Event;

/**
 * Reads staged chunks back before the engine loads them, and stages anew what has gone bad. Blocks;
 * confined to one worker at a time.
 */
final class StagedChunkVerifier {
    /** Times that a chunk is staged anew. */
    private static final int REPAIRS = 3;

    /** Engine. */
    private final LocalEngine engine;

    /** Holder of verified chunks. */
    private final Swarm swarm;

    /**
     * Creates a check.
     *
     * @param engine engine
     * @param swarm holder of verified chunks
     */
    StagedChunkVerifier(LocalEngine engine, Swarm swarm) {
        this.engine = engine;
        this.swarm = swarm;
    }

    /**
     * Checks all chunks of a version.
     *
     * @param staged version
     * @return true if the engine holds every chunk as it should be
     */
    boolean whole(StagedVersion staged) {
        for (int i = 0; i < staged.manifest().chunkCount(); i++) {
            if (!whole(staged.version(), staged.manifest(), i)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Checks a chunk.
     *
     * @param version version
     * @param manifest manifest of the version
     * @param index index of the chunk
     * @return true if the engine holds it as it should be
     */
    private boolean whole(WeightVersion version, Manifest manifest, int index) {
        for (int repairs = 0; repairs <= REPAIRS; repairs++) {
            Optional<byte[]> staged = engine.read(manifest, index);
            if (staged.isPresent() && manifest.matches(index, staged.get())) {
                return true;
            }
            Optional<byte[]> good = swarm.chunk(version.digest(), index).join();
            Event.named("staged-chunk-bad")
                    .with("version", version)
                    .with("index", index)
                    .with("missing", staged.isEmpty())
                    .with("held", good.isPresent())
                    .warn();
            if (good.isEmpty()) {
                return false;
            }
            engine.repair(manifest, index, good.get());
        }
        return false;
    }
}
