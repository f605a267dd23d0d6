package org.papayawalk.lab.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares the policy used in production with simpler ones, within and beyond the capacity. */
public final class LoadSimulationTest {
    private static final long SEED = 11;

    /** Approximate maximum rate of requests that an engine can serve. */
    private static final double ENGINE_CAPACITY_PER_SECOND = 10.8;

    /** Share of the upper bound that must be reached while the demand is within the capacity. */
    private static final double MIN_BOUND_SHARE = 0.9;

    /** The same of engines with 8 slots. */
    private static final double FEW_SLOTS_CAPACITY_PER_SECOND = 6.5;

    /** Share of the callers that may go without an answer besides, see docs/design/load.md. */
    private static final double MAX_FEWER = 0.01;

    /** Share of the worth with few entries that must be reached with many. */
    private static final double MIN_SHARE_OF_FEW = 0.9;

    /**
     * Provides demands outside the burst, as shares of the capacity.
     *
     * @return shares; the burst brings each of them beyond the capacity
     */
    @DataProvider
    public Object[][] heavyLoads() {
        return new Object[][] {{0.8}, {1.0}, {1.5}};
    }

    /** The simulation is deterministic. */
    @Test
    public void sameSeedGivesTheSameReport() {
        assertEquals(run(policy("product"), 0.8, 1.5), run(policy("product"), 0.8, 1.5));
    }

    /** Almost all answers are in time while the demand is within the capacity. */
    @Test
    public void loadWithinCapacityIsServedInTime() {
        SimulationReport report = run(policy("product"), 0.6, 1);
        assertTrue(report.worth() >= MIN_BOUND_SHARE * report.bound(), report.toString());
    }

    /**
     * Beyond the capacity, the production policy yields more worth than each simpler one, and no
     * request class and no size is starved.
     *
     * @param load demand outside the burst, as a share of the capacity
     */
    @Test(dataProvider = "heavyLoads")
    public void productOutperformsSimplerPoliciesUnderHeavyLoad(double load) {
        SimulationReport product = run(policy("product"), load, 1.5);
        for (String other : List.of("any", "two-choices", "unheard", "full-queue")) {
            SimulationReport report = run(policy(other), load, 1.5);
            assertTrue(product.worth() > report.worth(), product + " against " + report);
        }
        double mean = product.worth();
        product.worthByClass().forEach((c, w) -> assertTrue(w > mean / 2, c + " " + product));
        product.worthBySize().forEach((c, w) -> assertTrue(w > mean / 2, c + " " + product));
    }

    /** The computed upper bound holds for every policy. */
    @Test
    public void noPolicyExceedsTheBound() {
        for (LoadPolicy p : LoadPolicy.ALL) {
            SimulationReport report = run(p, 1.5, 1.5);
            assertTrue(report.worth() <= report.bound(), report.toString());
        }
    }

    /**
     * Callers of 35 entries get nearly what those of 7 get from the same engines; without a share
     * of the engines for each entry they get far less.
     */
    @Test
    public void manyEntriesServeLikeFew() {
        double load = 0.8;
        SimulationReport few = run(policy("product"), 7, load, 1.5);
        SimulationReport many = run(policy("product"), 35, load, 1.5);
        SimulationReport undivided = run(policy("undivided"), 35, load, 1.5);
        assertTrue(many.worth() >= MIN_SHARE_OF_FEW * few.worth(), many + " against " + few);
        assertTrue(many.worth() > undivided.worth(), many + " against " + undivided);
    }

    /**
     * Callers who return after a refusal are late in any case. They get what is left by those who
     * can be on time: more answers are in time, and hardly fewer callers are answered.
     *
     * @param load demand outside the burst, as a share of the capacity
     */
    @Test(dataProvider = "heavyLoads")
    public void returningCallersDoNotDisplaceThoseInTime(double load) {
        SimulationReport product = runFewSlots(policy("product"), load);
        SimulationReport equal = runFewSlots(policy("no-reserve"), load);
        assertTrue(product.inTime() > equal.inTime(), product + " against " + equal);
        assertTrue(
                product.inTime() + product.late() >= equal.inTime() + equal.late() - MAX_FEWER,
                product + " against " + equal);
    }

    // Runs a simulation with about twice as many engines as entries, of 8 slots each.
    private static SimulationReport runFewSlots(LoadPolicy policy, double load) {
        int engines = 48;
        LoadScenario scenario =
                new LoadScenario(
                        24,
                        engines,
                        EngineProfile.FEW_SLOTS,
                        RequestClass.SHORT_ANSWERS,
                        load * FEW_SLOTS_CAPACITY_PER_SECOND * engines,
                        1.5,
                        Duration.ofSeconds(9),
                        List.of(),
                        0.15,
                        1);
        return new LoadSimulation(scenario, policy, SEED).run();
    }

    private static SimulationReport run(LoadPolicy policy, double load, double burstFactor) {
        return run(policy, 7, load, burstFactor);
    }

    // Runs a simulation. The load is the demand outside the burst, as a share of the capacity.
    private static SimulationReport run(
            LoadPolicy policy, int entries, double load, double burstFactor) {
        int engines = 16;
        LoadScenario scenario =
                new LoadScenario(
                        entries,
                        engines,
                        EngineProfile.PRODUCTION,
                        RequestClass.PRODUCTION,
                        load * ENGINE_CAPACITY_PER_SECOND * engines,
                        burstFactor,
                        Duration.ofSeconds(24),
                        List.of(),
                        0.15,
                        1);
        return new LoadSimulation(scenario, policy, SEED).run();
    }

    private static LoadPolicy policy(String name) {
        return LoadPolicy.ALL.stream().filter(p -> p.name().equals(name)).findFirst().orElseThrow();
    }
}
