package org.papayawalk.core.weight;

/**
 * Request for one chunk from one source, to be sent now. Immutable.
 *
 * @param index index of the chunk
 * @param source source to request it from
 */
public record FetchRequest(int index, ChunkSource source) {}
