package org.papayawalk.daemon.managed.weight;

import java.nio.charset.StandardCharsets;
import org.papayawalk.core.id.Digest;

/**
 * Version of a model's weights. Immutable.
 *
 * @param model name of the model
 * @param number number that the operator gave the version, at least 1
 */
public record WeightVersion(String model, int number) {

    /**
     * Returns the digest that identifies the version in messages between daemons. The peer protocol
     * identifies versions by digest, but on the managed platform the operator numbers them, so the
     * digest is that of model and number, not that of a manifest.
     *
     * @return SHA-256 of model and number
     */
    public Digest digest() {
        return Digest.of((model + " " + number).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns model and number; part of a rendezvous key that all agents have to compute alike. */
    @Override
    public String toString() {
        return model + " version " + number;
    }
}
