package org.papayawalk.lab.burst;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.ClientRequest;
import org.papayawalk.adapter.standalone.ClientResponse;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.id.Digest;
import org.papayawalk.lab.standin.EngineText;

/**
 * Open-loop load generator: sends requests at a fixed rate, however long the answers take, and
 * checks every answer against the version that it names. Latency counts from the time at which a
 * request is due, so that queueing in the generator is included. Thread-safe.
 */
final class LoadGenerator implements AutoCloseable {
    /** Longest latency that the histogram can hold, in microseconds. */
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    private static final int SIGNIFICANT_DIGITS = 3;

    /** Length of each answer, in tokens. */
    private static final int MAX_TOKENS = 8;

    private final List<String> entries;

    private final BlockingHttpClient http =
            BlockingHttpClient.keepingConnections(Duration.ofSeconds(30), 2048);

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    /** Threads that send requests and wait for the answers. */
    private final ExecutorService workers = Executors.newCachedThreadPool();

    /** Latencies in microseconds; replaced at the end of each phase. */
    private volatile Histogram latencies =
            new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    private final AtomicInteger sent = new AtomicInteger();

    /** Requests without a complete answer. */
    private final AtomicInteger failed = new AtomicInteger();

    /** Answers whose text does not match the version that they name. */
    private final AtomicInteger mismatched = new AtomicInteger();

    /** Start of the load, by {@link System#nanoTime()}. */
    private final long startNanos = System.nanoTime();

    /** Requests handed to the workers. */
    private final AtomicLong scheduled = new AtomicLong();

    private final long intervalNanos;

    /**
     * Starts the load.
     *
     * @param entries addresses of the entries, used in turn
     * @param requestsPerSecond rate, above 0
     */
    LoadGenerator(List<String> entries, double requestsPerSecond) {
        this.entries = entries;
        this.intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / requestsPerSecond);
        timer.scheduleAtFixedRate(this::submitNext, 0, intervalNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Ends a phase and starts the next one.
     *
     * @return 99th percentile of the latency since the last call, in milliseconds
     */
    double endPhase() {
        Histogram phase = latencies;
        latencies = new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        return phase.getValueAtPercentile(99) / 1000.0;
    }

    /**
     * Returns the number of requests sent.
     *
     * @return 0 or more
     */
    int sent() {
        return sent.get();
    }

    /**
     * Returns the number of requests without a complete answer.
     *
     * @return 0 or more
     */
    int failed() {
        return failed.get();
    }

    /**
     * Returns the number of answers whose text does not match the version that they name.
     *
     * @return 0 or more
     */
    int mismatched() {
        return mismatched.get();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        workers.shutdown();
        try {
            workers.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        http.close();
    }

    private void submitNext() {
        long index = scheduled.getAndIncrement();
        long dueNanos = startNanos + index * intervalNanos;
        workers.execute(() -> send(index, dueNanos));
    }

    private void send(long index, long dueNanos) {
        Map<String, Object> body = new HashMap<>();
        body.put("model", BurstCluster.FLEET);
        body.put("max_tokens", MAX_TOKENS);
        body.put("messages", List.of(Map.of("role", "user", "content", "order " + index)));
        String entry = entries.get((int) (index % entries.size()));
        sent.incrementAndGet();
        var reply = http.execute(ClientRequest.post("load", entry, "/v1/chat/completions", body));
        long micros = (System.nanoTime() - dueNanos) / 1000;
        latencies.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, micros)));
        if (reply.isLeft() || !reply.get().isSuccess()) {
            failed.incrementAndGet();
            String reason = reply.fold(Object::toString, r -> r.status() + " " + r.text());
            System.err.println("burst: live request to " + entry + " failed: " + reason);
            return;
        }
        checkText(body, reply.get());
    }

    // Counts an answer as mismatched unless its text is that of the version in its header.
    private void checkText(Map<String, Object> body, ClientResponse reply) {
        try {
            Map<String, Object> sentCopy = Json.read(Json.write(body), new TypeReference<>() {});
            Digest version = new Digest(reply.header(CallerHeaders.MODEL_DIGEST).orElse(""));
            String prompt = String.valueOf(sentCopy.get("messages"));
            if (!reply.text().contains(EngineText.text(version, prompt, MAX_TOKENS))) {
                mismatched.incrementAndGet();
            }
        } catch (IOException | IllegalArgumentException e) {
            mismatched.incrementAndGet();
        }
    }
}
