package org.papayawalk.lab.standin;

/**
 * Order to make up a version. Immutable.
 *
 * @param model name of the model
 * @param adapter name of the adapter
 * @param version name of the version
 * @param sizeBytes length of the weights
 * @param chunkBytes length of a chunk
 * @param seed seed of the content
 */
public record PublishRequest(
        String model, String adapter, String version, long sizeBytes, int chunkBytes, long seed) {}
