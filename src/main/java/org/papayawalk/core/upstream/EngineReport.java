package org.papayawalk.core.upstream;

import java.util.Map;

/**
 * Status of a model engine as returned by its report endpoint. Immutable.
 *
 * @param incarnation start of the engine process in milliseconds since the epoch, 0 if not given
 * @param models version of each model that it serves, by name of the model
 * @param loading whether a load order is in progress
 * @param orders number of load orders accepted since the start of the process
 * @param waiting requests in the engine's queue
 * @param running requests in execution
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
