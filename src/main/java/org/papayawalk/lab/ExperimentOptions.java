package org.papayawalk.lab;

import com.beust.jcommander.Parameter;

/**
 * Options that the experiments with real daemons have in common. Filled once by the parser,
 * read-only afterwards.
 */
public final class ExperimentOptions {
    /** Seed. */
    @Parameter(names = "--seed", description = "Seed of chance")
    private long seed = 1;

    /** JSON. */
    @Parameter(names = "--json", description = "Print one JSON object, which is always done")
    private boolean json = true;

    /**
     * Returns the seed.
     *
     * @return seed of chance
     */
    public long seed() {
        return seed;
    }
}
