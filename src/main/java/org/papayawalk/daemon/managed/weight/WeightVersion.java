package org.papayawalk.daemon.managed.weight;

import java.nio.charset.StandardCharsets;
import org.papayawalk.core.id.Digest;

/**
 * Version of a model's weights. Immutable.
 *
 * @param model name of the model
 * @param number number of the version, at least 1
 */
public record WeightVersion(String model, int number) {

    /**
     * Returns the name of the version among agents. Agents name versions by a digest; here the
     * operator names them by a number, and the digest of model and number stands for it.
     *
     * @return name
     */
    public Digest digest() {
        return Digest.of((model + " " + number).getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return model + " version " + number;
    }
}
