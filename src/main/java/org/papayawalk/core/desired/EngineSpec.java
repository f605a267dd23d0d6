package org.papayawalk.core.desired;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Specification of the model engines of a service: weights, capacity and speed. Immutable.
 *
 * @param models names of the models that the engines serve
 * @param slots requests that an engine runs concurrently, at least 1
 * @param chunkCount number of chunks that the weights of a version consist of
 * @param chunkBytes length of a chunk in bytes
 * @param decodeStepMillis base time of a decode step in milliseconds, without active sequences
 * @param decodeStepMillisPerSequence time in milliseconds that each sequence being decoded adds to
 *     a decode step
 * @param prefillTokensPerSecond prefill speed in prompt tokens per second
 * @param decodeStepsPerIteration decode steps in one scheduler iteration, at least 1
 * @param meanPromptTokens mean length of a prompt in tokens, 0 if not stated
 * @param meanOutputTokens mean length of an answer in tokens, 0 if not stated
 * @param warmup time that an engine takes to load all weights
 */
public record EngineSpec(
        List<String> models,
        int slots,
        int chunkCount,
        int chunkBytes,
        double decodeStepMillis,
        double decodeStepMillisPerSequence,
        double prefillTokensPerSecond,
        int decodeStepsPerIteration,
        int meanPromptTokens,
        int meanOutputTokens,
        Duration warmup) {

    /** Copies the models. */
    public EngineSpec {
        models = List.copyOf(models);
    }

    /**
     * Returns the model whose weights are distributed, which is the first one.
     *
     * @return name of the model, empty if the engines serve none
     */
    public Optional<String> model() {
        return models.stream().findFirst();
    }
}
