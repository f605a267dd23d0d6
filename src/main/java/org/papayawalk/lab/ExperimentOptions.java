package org.papayawalk.lab;

import com.beust.jcommander.Parameter;

/**
 * Options shared by the experiments that run real daemons. Written once, by the parser; read-only
 * afterwards.
 */
public final class ExperimentOptions {
    @Parameter(names = "--seed", description = "Seed of the random generator")
    private long seed = 1;

    @Parameter(names = "--json", description = "Print one JSON object (always on)")
    private boolean json = true;

    /**
     * Returns the seed of the random generators, which makes runs repeatable.
     *
     * @return seed, 1 by default
     */
    public long seed() {
        return seed;
    }
}
