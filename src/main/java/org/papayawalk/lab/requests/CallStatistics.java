package org.papayawalk.lab.requests;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts of calls by outcome and histograms of their times. Thread-safe. */
final class CallStatistics {
    // Longer times are recorded as this one.
    private static final long MAX_MICROS = 60_000_000;

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<CallResult.Kind, AtomicInteger> callsByKind = new ConcurrentHashMap<>();
    private final Map<String, Histogram> firstTokenByTeam = new ConcurrentHashMap<>();
    private final Histogram firstToken = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram tokenGaps = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram refusals = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final AtomicInteger wrongAnswers = new AtomicInteger();

    /**
     * Records a streamed call.
     *
     * @param team team of the caller
     * @param result result for the caller
     * @param totalMicros time from the scheduled start to the end, in microseconds
     */
    void recordStream(String team, CallResult result, long totalMicros) {
        recordCall(result);
        if (result.firstTokenMicros() >= 0) {
            recordMicros(firstToken, result.firstTokenMicros());
            recordMicros(
                    firstTokenByTeam.computeIfAbsent(
                            team, t -> new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS)),
                    result.firstTokenMicros());
        }
        result.gapsMicros().forEach(g -> recordMicros(tokenGaps, g));
        if (result.kind() == CallResult.Kind.NOT_RUN) {
            recordMicros(refusals, totalMicros);
        }
    }

    /**
     * Records the outcome of a call, without times.
     *
     * @param result result for the caller
     */
    void recordCall(CallResult result) {
        callsByKind.computeIfAbsent(result.kind(), k -> new AtomicInteger()).incrementAndGet();
        if (result.wrong()) {
            wrongAnswers.incrementAndGet();
        }
    }

    /**
     * Returns the number of calls with an outcome.
     *
     * @param kind outcome
     * @return 0 or more
     */
    int callsWith(CallResult.Kind kind) {
        AtomicInteger n = callsByKind.get(kind);
        return n == null ? 0 : n.get();
    }

    /**
     * Returns the number of wrong or silently truncated answers.
     *
     * @return 0 or more
     */
    int wrongAnswers() {
        return wrongAnswers.get();
    }

    /**
     * Returns percentiles of the time to the first event.
     *
     * @return 50th, 95th and 99th percentile in milliseconds
     */
    List<Double> firstTokenMillis() {
        return percentiles(firstToken);
    }

    /**
     * Returns percentiles of the time between events.
     *
     * @return 50th, 95th and 99th percentile in milliseconds
     */
    List<Double> tokenGapMillis() {
        return percentiles(tokenGaps);
    }

    /**
     * Returns percentiles of the time to a refusal.
     *
     * @return 50th, 95th and 99th percentile in milliseconds
     */
    List<Double> refusalMillis() {
        return percentiles(refusals);
    }

    /**
     * Returns the 99th percentile of the time to the first event for each team.
     *
     * @return milliseconds by team, empty before the first event
     */
    Map<String, Double> firstTokenP99MillisByTeam() {
        Map<String, Double> result = new TreeMap<>();
        firstTokenByTeam.forEach((t, h) -> result.put(t, h.getValueAtPercentile(99) / 1000.0));
        return result;
    }

    private static void recordMicros(Histogram histogram, long micros) {
        histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
    }

    private static List<Double> percentiles(Histogram histogram) {
        return List.of(
                histogram.getValueAtPercentile(50) / 1000.0,
                histogram.getValueAtPercentile(95) / 1000.0,
                histogram.getValueAtPercentile(99) / 1000.0);
    }
}
