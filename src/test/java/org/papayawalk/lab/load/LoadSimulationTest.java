package org.papayawalk.lab.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays demand beyond what the engines can serve and looks at what callers get. */
public final class LoadSimulationTest {
    /** Seed of all runs. */
    private static final long SEED = 11;

    /** Requests a second that an engine of the users can serve at the most, about. */
    private static final double CAPACITY = 10.8;

    /** Part of the bound on worth that the product must reach while demand is within capacity. */
    private static final double CALM_PART = 0.9;

    /**
     * Lists loads: share of the capacity that is asked for outside the burst.
     *
     * @return loads
     */
    @DataProvider
    public Object[][] heavyLoads() {
        return new Object[][] {{0.8}, {1.0}, {1.5}};
    }

    /** The same seed gives the same report. */
    @Test
    public void sameSeedGivesTheSameReport() {
        assertEquals(run(policy("product"), 0.8, 1.5), run(policy("product"), 0.8, 1.5));
    }

    /** Within the capacity of the engines almost all answers are in time. */
    @Test
    public void calmLoadIsServedInTime() {
        SimulationReport report = run(policy("product"), 0.6, 1);
        assertTrue(report.worth() >= CALM_PART * report.bound(), report.toString());
    }

    /**
     * Beyond it, callers get more from the product's way than from each simpler one, and no kind of
     * request and no size is left out.
     *
     * @param load share of the capacity that is asked for outside the burst
     */
    @Test(dataProvider = "heavyLoads")
    public void heavyLoadIsServedBetterThanBySimplerWays(double load) {
        SimulationReport product = run(policy("product"), load, 1.5);
        for (String other : List.of("any", "two-choices", "unheard", "full-queue")) {
            SimulationReport report = run(policy(other), load, 1.5);
            assertTrue(product.worth() > report.worth(), product + " against " + report);
        }
        double mean = product.worth();
        product.worthByClass().forEach((c, w) -> assertTrue(w > mean / 2, c + " " + product));
        product.worthBySize().forEach((c, w) -> assertTrue(w > mean / 2, c + " " + product));
    }

    /** No policy passes the bound. */
    @Test
    public void boundHolds() {
        for (LoadPolicy p : LoadPolicy.ALL) {
            SimulationReport report = run(p, 1.5, 1.5);
            assertTrue(report.worth() <= report.bound(), report.toString());
        }
    }

    /**
     * Runs a simulation.
     *
     * @param policy way of placing and refusing
     * @param load share of the capacity that is asked for outside the burst
     * @param burst factor of the middle third of the time
     * @return report
     */
    private static SimulationReport run(LoadPolicy policy, double load, double burst) {
        int engines = 16;
        LoadScenario plan =
                new LoadScenario(
                        7,
                        engines,
                        EngineProfile.USERS,
                        RequestClass.USERS,
                        load * CAPACITY * engines,
                        burst,
                        Duration.ofSeconds(24),
                        List.of(),
                        0.15,
                        1);
        return new LoadSimulation(plan, policy, SEED).run();
    }

    /**
     * Returns a policy.
     *
     * @param name name
     * @return policy
     */
    private static LoadPolicy policy(String name) {
        return LoadPolicy.ALL.stream().filter(p -> p.name().equals(name)).findFirst().orElseThrow();
    }
}
