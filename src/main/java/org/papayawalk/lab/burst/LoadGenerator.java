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
import org.papayawalk.adapter.HttpCall;
import org.papayawalk.adapter.HttpCaller;
import org.papayawalk.adapter.HttpReply;
import org.papayawalk.adapter.Json;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.id.Digest;
import org.papayawalk.lab.standin.EngineText;

/**
 * Sends requests at a fixed rate whatever the answers take, and checks every answer against the
 * version that it names. Times count from the planned moment of sending. Thread-safe.
 */
final class LoadGenerator implements AutoCloseable {
    /** Longest latency recorded, in microseconds. */
    private static final long MAX_MICROS = 60_000_000;

    /** Digits of the histogram. */
    private static final int DIGITS = 3;

    /** Tokens of each request. */
    private static final int TOKENS = 8;

    /** Entries. */
    private final List<String> entries;

    /** Sends the requests. */
    private final HttpCaller http = new HttpCaller(Duration.ofSeconds(30), 2048, true);

    /** Plans the requests. */
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

    /** Threads that wait for answers. */
    private final ExecutorService workers = Executors.newCachedThreadPool();

    /** Latencies in microseconds; replaced at each phase. */
    private volatile Histogram latencies = new ConcurrentHistogram(MAX_MICROS, DIGITS);

    /** Requests sent. */
    private final AtomicInteger sent = new AtomicInteger();

    /** Requests without a whole answer. */
    private final AtomicInteger failed = new AtomicInteger();

    /** Answers whose text is not that of the version that they name. */
    private final AtomicInteger mixed = new AtomicInteger();

    /** Start of the load, in nanoseconds. */
    private final long startNanos = System.nanoTime();

    /** Requests planned. */
    private final AtomicLong planned = new AtomicLong();

    /** Time between requests, in nanoseconds. */
    private final long intervalNanos;

    /**
     * Starts the load.
     *
     * @param entries addresses of the entries
     * @param requestsPerSecond rate
     */
    LoadGenerator(List<String> entries, double requestsPerSecond) {
        this.entries = entries;
        this.intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / requestsPerSecond);
        timer.scheduleAtFixedRate(this::plan, 0, intervalNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Ends a phase.
     *
     * @return latency at the 99th percentile since the last call, in milliseconds
     */
    double endPhase() {
        Histogram phase = latencies;
        latencies = new ConcurrentHistogram(MAX_MICROS, DIGITS);
        return phase.getValueAtPercentile(99) / 1000.0;
    }

    /**
     * Returns the requests sent.
     *
     * @return 0 or more
     */
    int sent() {
        return sent.get();
    }

    /**
     * Returns the requests without a whole answer.
     *
     * @return 0 or more
     */
    int failed() {
        return failed.get();
    }

    /**
     * Returns the answers whose text is not that of the version that they name.
     *
     * @return 0 or more
     */
    int mixed() {
        return mixed.get();
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

    /** Hands a planned request to a worker. */
    private void plan() {
        long number = planned.getAndIncrement();
        long due = startNanos + number * intervalNanos;
        workers.execute(() -> send(number, due));
    }

    /**
     * Sends a request and checks its answer.
     *
     * @param number number of the request
     * @param dueNanos planned moment of sending
     */
    private void send(long number, long dueNanos) {
        Map<String, Object> body = new HashMap<>();
        body.put("model", BurstCluster.FLEET);
        body.put("max_tokens", TOKENS);
        body.put("messages", List.of(Map.of("role", "user", "content", "order " + number)));
        String entry = entries.get((int) (number % entries.size()));
        sent.incrementAndGet();
        var reply = http.call(HttpCall.post("load", entry, "/v1/chat/completions", body));
        long micros = (System.nanoTime() - dueNanos) / 1000;
        latencies.recordValue(Math.min(MAX_MICROS, Math.max(0, micros)));
        if (reply.isLeft() || !reply.get().ok()) {
            failed.incrementAndGet();
            String reason = reply.fold(Object::toString, r -> r.status() + " " + r.text());
            System.err.println("request failed: " + reason);
            return;
        }
        check(body, reply.get());
    }

    /**
     * Checks an answer.
     *
     * @param body body of the request
     * @param reply answer
     */
    private void check(Map<String, Object> body, HttpReply reply) {
        try {
            Map<String, Object> sentBody = Json.read(Json.write(body), new TypeReference<>() {});
            Digest version = new Digest(reply.header(CallerHeaders.MODEL_DIGEST).orElse(""));
            String prompt = String.valueOf(sentBody.get("messages"));
            if (!reply.text().contains(EngineText.text(version, prompt, TOKENS))) {
                mixed.incrementAndGet();
            }
        } catch (IOException | IllegalArgumentException e) {
            mixed.incrementAndGet();
        }
    }
}
