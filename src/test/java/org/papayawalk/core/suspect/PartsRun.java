package org.papayawalk.core.suspect;

import java.util.List;

/**
 * Outcome of the emulation of one seed. Immutable.
 *
 * @param seed seed
 * @param violations what breaks a rule
 * @param refusedShare share of sound requests that are refused for their parts
 * @param crashes crashes of upstreams by bad parts
 */
record PartsRun(long seed, List<String> violations, double refusedShare, int crashes) {

    /**
     * Plays a seed.
     *
     * @param seed seed
     * @return outcome
     */
    static PartsRun of(long seed) {
        PartsScenario scenario = PartsScenario.of(seed);
        PartsChecker checker = new PartsChecker(scenario);
        new PartsEmulation(scenario, checker).run();
        return new PartsRun(
                seed, checker.violations(), checker.refusedShare(), checker.crashCount());
    }

    /**
     * Plays seeds and prints what breaks a rule.
     *
     * @param args first seed and number of seeds
     */
    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        long count = Long.parseLong(args[1]);
        for (long seed = first; seed < first + count; seed++) {
            PartsRun run = of(seed);
            System.out.printf(
                    "seed %d refused %.5f crashes %d broken %d%n",
                    seed, run.refusedShare(), run.crashes(), run.violations().size());
            run.violations().forEach(v -> System.out.println("  " + v));
        }
    }
}
