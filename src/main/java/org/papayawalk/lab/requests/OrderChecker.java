package org.papayawalk.lab.requests;

import java.util.Map;
import java.util.TreeMap;

/** Compares the results that callers got for their orders with the runs. Thread-safe: one lock. */
final class OrderChecker {
    // By idempotency key.
    private final Map<String, CallResult> lastResults = new TreeMap<>();

    // First answer by idempotency key; later answers must be the same.
    private final Map<String, String> firstAnswers = new TreeMap<>();

    private int changedAnswers;

    /**
     * Records the result of an attempt. The last result of each order counts.
     *
     * @param key idempotency key
     * @param result result for the caller
     */
    synchronized void recordResult(String key, CallResult result) {
        lastResults.put(key, result);
        if (result.kind() == CallResult.Kind.ANSWERED) {
            String firstAnswer = firstAnswers.putIfAbsent(key, result.detail());
            if (firstAnswer != null && !firstAnswer.equals(result.detail())) {
                changedAnswers++;
            }
        }
    }

    /**
     * Counts the orders that ran more than once.
     *
     * @param runs number of runs by idempotency key
     * @return number of orders
     */
    synchronized long ranMoreThanOnce(Map<String, Integer> runs) {
        return runs.values().stream().filter(n -> n > 1).count();
    }

    /**
     * Counts the orders that ran although the last result was that they did not run.
     *
     * @param runs number of runs by idempotency key
     * @return number of orders
     */
    synchronized long ranDespiteNotRun(Map<String, Integer> runs) {
        return lastResults.entrySet().stream()
                .filter(e -> e.getValue().kind() == CallResult.Kind.NOT_RUN)
                .filter(e -> runs.getOrDefault(e.getKey(), 0) > 0)
                .count();
    }

    /**
     * Counts wrong answers: an order was answered without a run, or an attempt got another answer
     * than the first one.
     *
     * @param runs number of runs by idempotency key
     * @return number of wrong answers
     */
    synchronized long wrongAnswers(Map<String, Integer> runs) {
        long withoutRun =
                lastResults.entrySet().stream()
                        .filter(e -> e.getValue().kind() == CallResult.Kind.ANSWERED)
                        .filter(e -> runs.getOrDefault(e.getKey(), 0) == 0)
                        .count();
        return withoutRun + changedAnswers;
    }
}
