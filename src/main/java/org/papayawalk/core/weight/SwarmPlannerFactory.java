package org.papayawalk.core.weight;

import java.time.Instant;
import java.util.SplittableRandom;
import org.papayawalk.core.id.Digest;

/**
 * Creates {@link SwarmPlanner}s. The random seed depends on the host, so that hosts break ties
 * differently. Immutable.
 */
public final class SwarmPlannerFactory implements PlannerFactory {
    private final SwarmPlannerSettings settings;

    /**
     * Creates a factory.
     *
     * @param settings settings of every planner
     */
    public SwarmPlannerFactory(SwarmPlannerSettings settings) {
        this.settings = settings;
    }

    @Override
    public ChunkPlanner create(
            SwarmPeer self, Digest digest, Manifest manifest, Instant startedAt) {
        long seed = self.host().hashCode() * 31L + digest.hashCode();
        return new SwarmPlanner(
                self.host(),
                self.region(),
                digest,
                manifest.chunkCount(),
                settings,
                new SplittableRandom(seed),
                startedAt);
    }
}
