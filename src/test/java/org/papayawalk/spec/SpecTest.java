package org.papayawalk.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs the model checker on every specification and on its known-bad variants. */
public final class SpecTest {
    /** Exit code of a model without errors. */
    private static final int NO_ERROR = 0;

    /** Directory of the specifications. */
    private static final Path SPECS = Path.of("spec").toAbsolutePath();

    /**
     * Lists the models.
     *
     * @return specification, configuration and what must be violated, empty for nothing
     */
    @DataProvider
    public Object[][] models() {
        return new Object[][] {
            {"AtMostOnce", "AtMostOnce-good", ""},
            {"AtMostOnce", "AtMostOnce-forwardsWithoutStart", "Invariant NotRunIsTrue"},
            {"AtMostOnce", "AtMostOnce-saysNotRunWithoutRelease", "Invariant NotRunIsTrue"},
            {"Adoption", "Adoption-good", ""},
            {"Adoption", "Adoption-takesGaps", "Invariant CopyIsTrue"},
            {"Adoption", "Adoption-takesOldReadings", "Invariant CopyIsTrue"},
            {"Adoption", "Adoption-givesChangesAlways", "Invariant CopyIsTrue"},
            {"Era", "Era-good", ""},
            {"Era", "Era-comparesNumbersOnly", "Invariant CopyIsTrue"},
            {"Era", "Era-takesChangesOfLaterEra", "Invariant CopyIsTrue"},
            {"Staging", "Staging-good", ""},
            {"Staging", "Staging-stagesMeanwhile", "Invariant LoadedIsWhole"},
            {"Staging", "Staging-givesUpEarly", "Invariant LoadedIsWhole"},
        };
    }

    /**
     * Checks a model.
     *
     * @param spec specification
     * @param config configuration of the checker
     * @param violated what must be violated, empty for nothing
     * @throws IOException if the checker cannot be run
     * @throws InterruptedException if the thread is interrupted
     */
    @Test(dataProvider = "models")
    public void modelIsAsExpected(String spec, String config, String violated)
            throws IOException, InterruptedException {
        ProcessBuilder builder =
                new ProcessBuilder(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseParallelGC",
                                "-Xmx3g",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "tlc2.TLC",
                                "-workers",
                                "4",
                                "-metadir",
                                Path.of("target", "tlc", config).toString(),
                                "-config",
                                SPECS.resolve(config + ".cfg").toString(),
                                SPECS.resolve(spec + ".tla").toString()));
        Process process = builder.redirectErrorStream(true).start();
        byte[] output = process.getInputStream().readAllBytes();
        String text = new String(output, StandardCharsets.UTF_8);
        int code = process.waitFor();
        if (violated.isEmpty()) {
            assertEquals(code, NO_ERROR, text);
        } else {
            assertTrue(text.contains(violated + " is violated"), text);
        }
    }
}
