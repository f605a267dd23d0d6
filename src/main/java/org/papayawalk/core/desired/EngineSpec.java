package org.papayawalk.core.desired;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What the desired state says of the model engines of a service. Immutable.
 *
 * @param models names of the models that the engines serve
 * @param slots requests that an engine works on at once
 * @param chunkCount chunks of the weights of one version
 * @param chunkBytes length of a chunk in bytes
 * @param decodeStepMillis time of a token step without work, in milliseconds
 * @param decodeStepMillisPerSequence time that each writing request adds to a step, in milliseconds
 * @param prefillTokensPerSecond speed at which prompts are read
 * @param decodeStepsPerIteration token steps of one pass
 * @param meanPromptTokens mean length of a prompt
 * @param meanOutputTokens mean length of an answer
 * @param warmup time that loading the whole weights takes
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
     * Returns the model whose weights are distributed.
     *
     * @return name of the first model, empty if there is none
     */
    public Optional<String> model() {
        return models.stream().findFirst();
    }
}
