package org.papayawalk.core.weight;

/**
 * Request for one chunk that is to be sent now. Immutable.
 *
 * @param index index of the chunk
 * @param source where to ask
 */
public record FetchRequest(int index, ChunkSource source) {}
