package org.papayawalk.core.upstream;

import java.util.Map;

/**
 * What a model engine reports of itself when asked. Immutable.
 *
 * @param incarnation start of its process in milliseconds since the epoch, 0 if not given
 * @param models version of each model that it serves
 * @param loading whether an order is in progress
 * @param orders orders accepted since its start
 * @param waiting requests in its queue
 * @param running requests that it works on
 */
public record EngineReport(
        long incarnation,
        Map<String, Integer> models,
        boolean loading,
        long orders,
        int waiting,
        int running) {

    /** Copies the models. */
    public EngineReport {
        models = Map.copyOf(models);
    }
}
