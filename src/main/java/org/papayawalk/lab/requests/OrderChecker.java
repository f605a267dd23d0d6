package org.papayawalk.lab.requests;

import java.util.Map;
import java.util.TreeMap;

/** What callers were told of their orders, to be held against the runs. Thread-safe. */
final class OrderChecker {
    private final Map<String, CallResult> lastResults = new TreeMap<>();

    private final Map<String, String> firstAnswers = new TreeMap<>();

    private int changedAnswers;

    /**
     * Notes a result.
     *
     * @param key idempotency key
     * @param result what the caller saw
     */
    synchronized void recordResult(String key, CallResult result) {
        lastResults.put(key, result);
        if (result.kind() == CallResult.Kind.ANSWERED) {
            String before = firstAnswers.putIfAbsent(key, result.detail());
            if (before != null && !before.equals(result.detail())) {
                changedAnswers++;
            }
        }
    }

    /**
     * Counts the orders that ran more than once.
     *
     * @param runs runs by key
     * @return number of orders
     */
    synchronized long ranMoreThanOnce(Map<String, Integer> runs) {
        return runs.values().stream().filter(n -> n > 1).count();
    }

    /**
     * Counts the orders that ran although their caller was last told that they had not.
     *
     * @param runs runs by key
     * @return number of orders
     */
    synchronized long ranDespiteNotRun(Map<String, Integer> runs) {
        return lastResults.entrySet().stream()
                .filter(e -> e.getValue().kind() == CallResult.Kind.NOT_RUN)
                .filter(e -> runs.getOrDefault(e.getKey(), 0) > 0)
                .count();
    }

    /**
     * Counts the orders whose answer is wrong: none ran, or a repeat got another one.
     *
     * @param runs runs by key
     * @return number of orders
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
