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
    /** Faults that can be caused. */
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

    /** Length of the measurement straight to an engine, in seconds. */
    private static final int DIRECT_SECONDS = 4;

    /** Tokens of each streamed call. */
    private static final int TOKENS = 24;

    /** Calls of ten that are streamed. */
    private static final int STREAMS_OF_TEN = 7;

    /** Times that the caller of an order comes back. */
    private static final int ORDER_ATTEMPTS = 8;

    /** Seed and form of the result. */
    @ParametersDelegate private final ExperimentOptions common = new ExperimentOptions();

    /** Length. */
    @Parameter(names = "--seconds", description = "Length of the measurement")
    private int seconds = 20;

    /** Rate. */
    @Parameter(names = "--rate", description = "Calls a second")
    private double rate = 60;

    /** Faults. */
    @Parameter(
            names = "--faults",
            description =
                    "kill-agent, kill-service-agent, kill-entry, lose-answer, table-away,"
                            + " table-slow, freeze-upstream, poison, drain, or all")
    private List<String> faults = new ArrayList<>();

    /** Model hosts. */
    @Parameter(names = "--models", description = "Model hosts")
    private int models = 6;

    /** Limit. */
    @Parameter(names = "--max-in-flight", description = "Requests that one upstream runs at once")
    private int maxInFlight = 32;

    /** Counts of the calls through the entries. */
    private final CallStatistics tally = new CallStatistics();

    /** Counts of the calls straight to an engine. */
    private final CallStatistics direct = new CallStatistics();

    /** Orders. */
    private final OrderChecker ledger = new OrderChecker();

    /** Calls sent. */
    private final AtomicInteger sent = new AtomicInteger();

    /** Orders placed. */
    private final AtomicInteger orders = new AtomicInteger();

    /** Makes calls. */
    private final TestCaller caller = new TestCaller();

    /** Threads that wait for answers. */
    private final ExecutorService workers = Executors.newCachedThreadPool();

    @Override
    public String name() {
        return "requests";
    }

    @Override
    public int run() throws IOException, InterruptedException {
        EngineSettings engine = new EngineSettings(40, 10, 4 * maxInFlight, false);
        try (RequestsCluster cluster =
                new RequestsCluster(models, 2, engine, maxInFlight, common.seed())) {
            System.err.println("requests: all hosts serve");
            load(DIRECT_SECONDS, rate / models, (n, due) -> directCall(cluster, n, due));
            OperatingSystemMXBean system =
                    (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long cpuBefore = system.getProcessCpuTime();
            long start = System.nanoTime();
            FaultRunner chaos =
                    new FaultRunner(
                            cluster, FaultNames.select(faults, FAULTS), caller, common.seed());
            Thread chaosThread = new Thread(chaos, "chaos");
            chaosThread.start();
            load(seconds, rate, (n, due) -> call(cluster, n, due));
            chaos.stop();
            chaosThread.join(TimeUnit.SECONDS.toMillis(15));
            workers.shutdown();
            workers.awaitTermination(60, TimeUnit.SECONDS);
            double cores =
                    (system.getProcessCpuTime() - cpuBefore) / (double) (System.nanoTime() - start);
            RequestsReport report = report(cluster, chaos, cores);
            System.out.println(Json.pretty(report));
            boolean broken =
                    report.ranTwice() + report.falseNotRun() + report.wrongOrTruncated() > 0;
            System.exit(broken ? 1 : 0);
            return 0;
        }
    }

    /** Makes one call. */
    private interface NumberedCall {
        /**
         * Makes the call.
         *
         * @param number number of the call
         * @param dueNanos planned moment
         */
        void make(long number, long dueNanos);
    }

    /**
     * Makes calls at a fixed rate, whatever they take.
     *
     * @param length length in seconds
     * @param perSecond calls a second
     * @param call makes one call
     * @throws InterruptedException if the thread is interrupted
     */
    private void load(int length, double perSecond, NumberedCall call) throws InterruptedException {
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

    /**
     * Makes a call straight to an engine.
     *
     * @param cluster daemons and stand-ins
     * @param number number of the call
     * @param dueNanos planned moment
     */
    private void directCall(RequestsCluster cluster, long number, long dueNanos) {
        String address = cluster.models().get(0).upstreamAddress();
        CallResult result =
                caller.stream(
                        address,
                        RequestsCluster.MODEL_FLEET,
                        cluster.version(),
                        "direct",
                        "direct " + number,
                        TOKENS,
                        dueNanos);
        direct.stream("direct", result, 0);
    }

    /**
     * Makes a call through an entry.
     *
     * @param cluster daemons and stand-ins
     * @param number number of the call
     * @param dueNanos planned moment
     */
    private void call(RequestsCluster cluster, long number, long dueNanos) {
        String entry = cluster.entries().get((int) (number % 2)).address();
        sent.incrementAndGet();
        if (number % 10 >= STREAMS_OF_TEN) {
            order(cluster, number);
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
                        TOKENS,
                        dueNanos);
        if (result.wrong()) {
            System.err.println("requests: wrong stream " + number + ": " + result.detail());
        }
        tally.stream(team, result, (System.nanoTime() - dueNanos) / 1000);
    }

    /**
     * Places an order, and comes back as the callers' page says. Every other order is tried once.
     *
     * @param cluster daemons and stand-ins
     * @param number number of the call
     */
    private void order(RequestsCluster cluster, long number) {
        String key = "order-" + number;
        orders.incrementAndGet();
        int attempts = number % 2 == 0 ? ORDER_ATTEMPTS : 1;
        CallResult result = null;
        for (int i = 0; i < attempts; i++) {
            String entry = cluster.entries().get((int) ((number + i) % 2)).address();
            result = caller.order(entry, RequestsCluster.SERVICE_FLEET, key, "leaf " + number);
            ledger.note(key, result);
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
        tally.count(result);
    }

    /**
     * Makes the result.
     *
     * @param cluster daemons and stand-ins
     * @param chaos faults
     * @param cores processor time in cores
     * @return result
     */
    private RequestsReport report(RequestsCluster cluster, FaultRunner chaos, double cores) {
        var runs = cluster.runs();
        Runtime runtime = Runtime.getRuntime();
        return new RequestsReport(
                sent.get(),
                tally.of(CallResult.Kind.ANSWERED),
                tally.of(CallResult.Kind.NOT_RUN),
                tally.of(CallResult.Kind.UNKNOWN),
                ledger.ranTwice(runs),
                ledger.falseNotRun(runs),
                tally.wrong() + ledger.wrong(runs),
                chaos.caused(),
                chaos.newWorkAfterDrainSeconds(),
                chaos.interrupted(),
                chaos.crashedByOne(),
                tally.firstMillis(),
                direct.firstMillis(),
                tally.gapMillis(),
                direct.gapMillis(),
                tally.refusalMillis(),
                tally.teamP99Millis(),
                cluster.platform().onceWrites() / (double) Math.max(1, orders.get()),
                cores,
                (runtime.totalMemory() - runtime.freeMemory()) / 1e6);
    }
}
