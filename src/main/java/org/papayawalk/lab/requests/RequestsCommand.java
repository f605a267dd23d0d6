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
import org.papayawalk.adapter.Json;
import org.papayawalk.lab.ExperimentOptions;
import org.papayawalk.lab.FaultNames;
import org.papayawalk.lab.LabCommand;
import org.papayawalk.lab.standin.EngineSettings;

/** Measures requests under load and faults. */
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

    private static final int DIRECT_DURATION_SECONDS = 4;

    private static final int TOKENS_PER_STREAM = 24;

    private static final int STREAMS_PER_TEN_CALLS = 7;

    private static final int MAX_ORDER_ATTEMPTS = 8;

    @ParametersDelegate private final ExperimentOptions common = new ExperimentOptions();

    @Parameter(names = "--seconds", description = "Length of the measurement")
    private int seconds = 20;

    @Parameter(names = "--rate", description = "Calls a second")
    private double rate = 60;

    @Parameter(
            names = "--faults",
            description =
                    "kill-agent, kill-service-agent, kill-entry, lose-answer, table-away,"
                            + " table-slow, freeze-upstream, poison, drain, or all")
    private List<String> faults = new ArrayList<>();

    @Parameter(names = "--models", description = "Model hosts")
    private int modelHosts = 6;

    @Parameter(names = "--max-in-flight", description = "Requests that one upstream runs at once")
    private int maxInFlight = 32;

    private final CallStatistics entryStatistics = new CallStatistics();

    private final CallStatistics directStatistics = new CallStatistics();

    private final OrderChecker orderChecker = new OrderChecker();

    private final AtomicInteger callsSent = new AtomicInteger();

    private final AtomicInteger ordersPlaced = new AtomicInteger();

    private final TestCaller caller = new TestCaller();

    private final ExecutorService workers = Executors.newCachedThreadPool();

    @Override
    public String name() {
        return "requests";
    }

    @Override
    public int run() throws IOException, InterruptedException {
        EngineSettings engine = new EngineSettings(40, 10, 4 * maxInFlight, false);
        try (RequestsCluster cluster =
                new RequestsCluster(modelHosts, 2, engine, maxInFlight, common.seed())) {
            System.err.println("requests: all hosts serve");
            generateLoad(
                    DIRECT_DURATION_SECONDS,
                    rate / modelHosts,
                    (n, due) -> callEngineDirectly(cluster, n, due));
            OperatingSystemMXBean system =
                    (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long cpuBefore = system.getProcessCpuTime();
            long start = System.nanoTime();
            FaultRunner chaos =
                    new FaultRunner(
                            cluster, FaultNames.select(faults, FAULTS), caller, common.seed());
            Thread chaosThread = new Thread(chaos, "chaos");
            chaosThread.start();
            generateLoad(seconds, rate, (n, due) -> callEntry(cluster, n, due));
            chaos.stop();
            chaosThread.join(TimeUnit.SECONDS.toMillis(15));
            workers.shutdown();
            workers.awaitTermination(60, TimeUnit.SECONDS);
            double cores =
                    (system.getProcessCpuTime() - cpuBefore) / (double) (System.nanoTime() - start);
            RequestsReport report = buildReport(cluster, chaos, cores);
            System.out.println(Json.pretty(report));
            boolean broken =
                    report.ranTwice() + report.falseNotRun() + report.wrongOrTruncated() > 0;
            System.exit(broken ? 1 : 0);
            return 0;
        }
    }

    private interface NumberedCall {
        /**
         * Makes the call.
         *
         * @param number number of the call
         * @param dueNanos planned moment
         */
        void make(long number, long dueNanos);
    }

    private void generateLoad(int length, double perSecond, NumberedCall call)
            throws InterruptedException {
        long interval = (long) (1e9 / perSecond);
        long start = System.nanoTime();
        AtomicLong next = new AtomicLong();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        timer.scheduleAtFixedRate(
                () -> {
                    long n = next.getAndIncrement();
                    workers.execute(() -> call.make(n, start + n * interval));
                },
                0,
                interval,
                TimeUnit.NANOSECONDS);
        TimeUnit.SECONDS.sleep(length);
        timer.shutdownNow();
    }

    private void callEngineDirectly(RequestsCluster cluster, long number, long dueNanos) {
        String address = cluster.modelAgents().get(0).upstreamAddress();
        CallResult result =
                caller.stream(
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
                caller.stream(
                        entry,
                        RequestsCluster.MODEL_FLEET,
                        cluster.version(),
                        team,
                        "prompt " + number,
                        TOKENS_PER_STREAM,
                        dueNanos);
        if (result.wrong()) {
            System.err.println("requests: wrong stream " + number + ": " + result.detail());
        }
        entryStatistics.recordStream(team, result, (System.nanoTime() - dueNanos) / 1000);
    }

    private void placeOrder(RequestsCluster cluster, long number) {
        String key = "order-" + number;
        ordersPlaced.incrementAndGet();
        int attempts = number % 2 == 0 ? MAX_ORDER_ATTEMPTS : 1;
        CallResult result = null;
        for (int i = 0; i < attempts; i++) {
            String entry = cluster.entries().get((int) ((number + i) % 2)).address();
            result = caller.placeOrder(entry, RequestsCluster.SERVICE_FLEET, key, "leaf " + number);
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

    private RequestsReport buildReport(RequestsCluster cluster, FaultRunner chaos, double cores) {
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
                chaos.faultsInjected(),
                chaos.newWorkAfterDrainSeconds(),
                chaos.interruptedRequests(),
                chaos.maxUpstreamsCrashedByOneRequest(),
                entryStatistics.firstTokenMillis(),
                directStatistics.firstTokenMillis(),
                entryStatistics.tokenGapMillis(),
                directStatistics.tokenGapMillis(),
                entryStatistics.refusalMillis(),
                entryStatistics.firstTokenP99MillisByTeam(),
                cluster.platform().idempotencyRowsWritten()
                        / (double) Math.max(1, ordersPlaced.get()),
                cores,
                (runtime.totalMemory() - runtime.freeMemory()) / 1e6);
    }
}
