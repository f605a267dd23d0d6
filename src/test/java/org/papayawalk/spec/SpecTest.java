package org.papayawalk.spec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the model checker on every specification and on its known-bad variants. A few models are
 * checked at the same time, each in a process of its own, in the order of the list; the largest one
 * comes first.
 */
public final class SpecTest {
    /** Models that are checked at the same time. */
    private static final int PARALLEL_MODELS = 2;

    /** Exit code of a model without errors. */
    private static final int NO_ERROR = 0;

    /** Directory of the specifications. */
    private static final Path SPECS = Path.of("spec").toAbsolutePath();

    private final ExecutorService checkers = Executors.newFixedThreadPool(PARALLEL_MODELS);

    private final Map<String, Future<Result>> results = new HashMap<>();

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

    /** Starts the checks. */
    @BeforeClass
    public void start() {
        for (Object[] model : models()) {
            String spec = (String) model[0];
            String config = (String) model[1];
            results.put(config, checkers.submit(() -> check(spec, config)));
        }
        checkers.shutdown();
    }

    /**
     * Requires that a model is as expected.
     *
     * @param spec specification
     * @param config configuration of the checker
     * @param violated what must be violated, empty for nothing
     * @throws ExecutionException if the checker cannot be run
     * @throws InterruptedException if the thread is interrupted
     */
    @Test(dataProvider = "models")
    public void modelIsAsExpected(String spec, String config, String violated)
            throws ExecutionException, InterruptedException {
        Result result = results.get(config).get();
        if (violated.isEmpty()) {
            assertEquals(result.code(), NO_ERROR, result.text());
        } else {
            assertTrue(result.text().contains(violated + " is violated"), result.text());
        }
    }

    private static Result check(String spec, String config)
            throws IOException, InterruptedException {
        Path directory = Files.createDirectories(Path.of("target", "tlc", config));
        ProcessBuilder builder =
                new ProcessBuilder(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseParallelGC",
                                "-Xmx3g",
                                // The checker unpacks its modules there.
                                "-Djava.io.tmpdir=" + directory,
                                "-cp",
                                System.getProperty("java.class.path"),
                                "tlc2.TLC",
                                "-workers",
                                "auto",
                                "-metadir",
                                directory.toString(),
                                "-config",
                                SPECS.resolve(config + ".cfg").toString(),
                                SPECS.resolve(spec + ".tla").toString()));
        Process process = builder.redirectErrorStream(true).start();
        byte[] output = process.getInputStream().readAllBytes();
        return new Result(process.waitFor(), new String(output, StandardCharsets.UTF_8));
    }

    /**
     * What the model checker returned. Immutable.
     *
     * @param code exit code
     * @param text output
     */
    private record Result(int code, String text) {}
}
