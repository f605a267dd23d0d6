package org.papayawalk.lab.requests;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.lab.ExperimentOptions;
import org.papayawalk.lab.FaultNames;
import org.papayawalk.lab.LabCommand;
import org.papayawalk.lab.standin.EngineSettings;

/**
 * Measures requests under load and injected faults, and checks that no order runs twice, that no
 * order reported as not run has run, and that no answer is wrong. An instance runs once.
 */
@Parameters(commandDescription = "Measure requests under load and faults")
public final class RequestsCommand implements LabCommand {
    private static final List<String> FAULTS =
            List.of(
                    "kill-agent",
                    "kill-service-agent",
                    "kill-entry",
                    "lose-answer",
                    "table-away",
                    "table-slow",
                    "freeze-upstream",
                    "poison",
                    "drain");

    // Duration of the reference measurement that bypasses the entries.
    private static final int DIRECT_DURATION_SECONDS = 4;

    private static final int TOKENS_PER_STREAM = 24;

    // The other calls of ten are orders.
    private static final int STREAMS_PER_TEN_CALLS = 7;

    private static final int MAX_ORDER_ATTEMPTS = 8;

    @ParametersDelegate private final ExperimentOptions common = new ExperimentOptions();

    @Parameter(names = "--seconds", description = "Duration of the measurement in seconds")
    private int seconds = 20;

    @Parameter(names = "--rate", description = "Calls per second")
    private double rate = 60;

    @Parameter(
            names = "--faults",
            description =
                    "kill-agent, kill-service-agent, kill-entry, lose-answer, table-away,"
                            + " table-slow, freeze-upstream, poison, drain, or all")
    private List<String> faults = new ArrayList<>();

    @Parameter(names = "--models", description = "Number of model hosts")
    private int modelHosts = 6;

    @Parameter(
            names = "--max-in-flight",
            description = "Maximum number of in-flight requests per upstream")
    private int maxInFlight = 32;

    private final CallStatistics entryStatistics = new CallStatistics();
    private final CallStatistics directStatistics = new CallStatistics();
    private final OrderChecker orderChecker = new OrderChecker();
    private final AtomicInteger callsSent = new AtomicInteger();
    private final AtomicInteger ordersPlaced = new AtomicInteger();
    private final TestCaller testCaller = new TestCaller();
    private final ExecutorService workers = Executors.newCachedThreadPool();

    @Override
    public String name() {
        return "requests";
    }

    @Override
    public int run() throws IOException, InterruptedException {
        EngineSettings engineSettings = new EngineSettings(40, 10, 4 * maxInFlight, false);
        try (RequestsCluster cluster =
                new RequestsCluster(modelHosts, 2, engineSettings, maxInFlight, common.seed())) {
            System.err.println("requests: all hosts serve");
            generateLoad(
                    DIRECT_DURATION_SECONDS,
                    rate / modelHosts,
                    (n, due) -> callEngineDirectly(cluster, n, due));
            OperatingSystemMXBean system =
                    (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long cpuBefore = system.getProcessCpuTime();
            long start = System.nanoTime();
            FaultRunner faultRunner =
                    new FaultRunner(
                            cluster, FaultNames.select(faults, FAULTS), testCaller, common.seed());
            Thread faultThread = new Thread(faultRunner, "chaos");
            faultThread.start();
            generateLoad(seconds, rate, (n, due) -> callEntry(cluster, n, due));
            faultRunner.stop();
            faultThread.join(TimeUnit.SECONDS.toMillis(15));
            workers.shutdown();
            workers.awaitTermination(60, TimeUnit.SECONDS);
            double cpuCores =
                    (system.getProcessCpuTime() - cpuBefore) / (double) (System.nanoTime() - start);
            RequestsReport report = buildReport(cluster, faultRunner, cpuCores);
            System.out.println(Json.writePretty(report));
            boolean failed =
                    report.ranTwice() + report.falseNotRun() + report.wrongOrTruncated() > 0;
            System.exit(failed ? 1 : 0);
            return 0;
        }
    }

    /** Call of an open-loop load, which is due at a fixed time. */
    private interface ScheduledCall {
        /**
         * Makes the call.
         *
         * @param number sequence number of the call, from 0
         * @param dueNanos scheduled time, as {@link System#nanoTime}
         */
        void make(long number, long dueNanos);
    }

    // Starts calls at a fixed rate, however long they take (open loop).
    private void generateLoad(int durationSeconds, double callsPerSecond, ScheduledCall call)
            throws InterruptedException {
        long intervalNanos = (long) (1e9 / callsPerSecond);
        long start = System.nanoTime();
        AtomicLong next = new AtomicLong();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        timer.scheduleAtFixedRate(
                () -> {
                    long n = next.getAndIncrement();
                    workers.execute(() -> call.make(n, start + n * intervalNanos));
                },
                0,
                intervalNanos,
                TimeUnit.NANOSECONDS);
        TimeUnit.SECONDS.sleep(durationSeconds);
        timer.shutdownNow();
    }

    private void callEngineDirectly(RequestsCluster cluster, long number, long dueNanos) {
        String address = cluster.modelAgents().get(0).upstreamAddress();
        CallResult result =
                testCaller.stream(
                        address,
                        RequestsCluster.MODEL_FLEET,
                        cluster.version(),
                        "direct",
                        "direct " + number,
                        TOKENS_PER_STREAM,
                        dueNanos);
        directStatistics.recordStream("direct", result, 0);
    }

    private void callEntry(RequestsCluster cluster, long number, long dueNanos) {
        String entry = cluster.entries().get((int) (number % 2)).address();
        callsSent.incrementAndGet();
        if (number % 10 >= STREAMS_PER_TEN_CALLS) {
            placeOrder(cluster, number);
            return;
        }
        String team = number % 5 == 0 ? "small" : "large";
        CallResult result =
                testCaller.stream(
                        entry,
                        RequestsCluster.MODEL_FLEET,
                        cluster.version(),
                        team,
                        "prompt " + number,
                        TOKENS_PER_STREAM,
                        dueNanos);
        if (result.wrong()) {
            System.err.println(
                    "requests: stream " + number + " is wrong or truncated: " + result.detail());
        }
        entryStatistics.recordStream(team, result, (System.nanoTime() - dueNanos) / 1000);
    }

    // Retries as the rules for callers ask for, with the same key at alternating entries. Odd
    // orders
    // are not retried, so that the report also covers callers without retries.
    private void placeOrder(RequestsCluster cluster, long number) {
        String key = "order-" + number;
        ordersPlaced.incrementAndGet();
        int attempts = number % 2 == 0 ? MAX_ORDER_ATTEMPTS : 1;
        CallResult result = null;
        for (int i = 0; i < attempts; i++) {
            String entry = cluster.entries().get((int) ((number + i) % 2)).address();
            result =
                    testCaller.placeOrder(
                            entry, RequestsCluster.SERVICE_FLEET, key, "leaf " + number);
            orderChecker.recordResult(key, result);
            if (result.kind() == CallResult.Kind.ANSWERED) {
                break;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(Math.max(200, result.retryAfterMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        entryStatistics.recordCall(result);
    }

    private RequestsReport buildReport(
            RequestsCluster cluster, FaultRunner faultRunner, double cpuCores) {
        var runs = cluster.orderRuns();
        Runtime runtime = Runtime.getRuntime();
        return new RequestsReport(
                callsSent.get(),
                entryStatistics.callsWith(CallResult.Kind.ANSWERED),
                entryStatistics.callsWith(CallResult.Kind.NOT_RUN),
                entryStatistics.callsWith(CallResult.Kind.UNKNOWN),
                orderChecker.ranMoreThanOnce(runs),
                orderChecker.ranDespiteNotRun(runs),
                entryStatistics.wrongAnswers() + orderChecker.wrongAnswers(runs),
                faultRunner.faultsInjected(),
                faultRunner.newWorkAfterDrainSeconds(),
                faultRunner.interruptedRequests(),
                faultRunner.maxUpstreamsCrashedByOneRequest(),
                entryStatistics.firstTokenMillis(),
                directStatistics.firstTokenMillis(),
                entryStatistics.tokenGapMillis(),
                directStatistics.tokenGapMillis(),
                entryStatistics.refusalMillis(),
                entryStatistics.firstTokenP99MillisByTeam(),
                cluster.platform().idempotencyRowsWritten()
                        / (double) Math.max(1, ordersPlaced.get()),
                cpuCores,
                (runtime.totalMemory() - runtime.freeMemory()) / 1e6);
    }
}
