package org.papayawalk.lab.standin;

/**
 * Request to generate and publish a version. Read as JSON. Immutable.
 *
 * @param model name of the model
 * @param adapter name of the adapter, empty for none
 * @param version name of the version
 * @param sizeBytes size of the weights in bytes
 * @param chunkBytes size of a chunk in bytes
 * @param seed seed of the generated content
 */
public record PublishRequest(
        String model, String adapter, String version, long sizeBytes, int chunkBytes, long seed) {}
