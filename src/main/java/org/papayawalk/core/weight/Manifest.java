package org.papayawalk.core.weight;

import java.util.List;
import org.papayawalk.core.id.Digest;

/**
 * Manifest of one version of the weights of a model. Stand-alone daemons exchange it as JSON with
 * the names of its components, and identify the version by the digest of that text. Immutable.
 *
 * @param model name of the model
 * @param adapter name of the adapter, may be empty
 * @param version name of the version
 * @param sizeBytes length of the weights in bytes, at least 1
 * @param chunkBytes length in bytes of every chunk but the last, 1 to {@link #MAX_CHUNK_BYTES}
 * @param chunks SHA-256 of each chunk, by index
 * @param whole SHA-256 of the complete weights
 */
public record Manifest(
        String model,
        String adapter,
        String version,
        long sizeBytes,
        int chunkBytes,
        List<Digest> chunks,
        Digest whole) {
    /** Maximum length of a chunk in bytes. */
    public static final int MAX_CHUNK_BYTES = 4 * 1024 * 1024;

    /**
     * Checks that the lengths and the number of chunks are consistent.
     *
     * @param model name of the model
     * @param adapter name of the adapter, may be empty
     * @param version name of the version
     * @param sizeBytes length of the weights in bytes
     * @param chunkBytes length in bytes of every chunk but the last
     * @param chunks SHA-256 of each chunk, by index
     * @param whole SHA-256 of the complete weights
     * @throws IllegalArgumentException if a length is out of range, or if the number of chunks does
     *     not match the lengths
     */
    public Manifest {
        if (chunkBytes < 1 || chunkBytes > MAX_CHUNK_BYTES) {
            String reason = "manifest has a chunk length of %d bytes, expected 1 to %d";
            throw new IllegalArgumentException(reason.formatted(chunkBytes, MAX_CHUNK_BYTES));
        }
        long expected = (sizeBytes + chunkBytes - 1) / chunkBytes;
        if (sizeBytes < 1 || expected != chunks.size()) {
            String reason =
                    "manifest lists %d chunks, expected %d for %d bytes in chunks of %d bytes";
            throw new IllegalArgumentException(
                    reason.formatted(chunks.size(), expected, sizeBytes, chunkBytes));
        }
        chunks = List.copyOf(chunks);
    }

    /**
     * Returns the number of chunks.
     *
     * @return at least 1
     */
    public int chunkCount() {
        return chunks.size();
    }

    /**
     * Returns the offset of a chunk in the weights.
     *
     * @param index index of the chunk
     * @return offset in bytes, from 0
     */
    public long offset(int index) {
        return (long) index * chunkBytes;
    }

    /**
     * Returns the length of a chunk.
     *
     * @param index index of the chunk
     * @return length in bytes, at least 1
     */
    public int length(int index) {
        return (int) Math.min(chunkBytes, sizeBytes - offset(index));
    }

    /**
     * Verifies the bytes of a chunk.
     *
     * @param index index of the chunk
     * @param data bytes received
     * @return true if their length and digest match the manifest
     */
    public boolean matches(int index, byte[] data) {
        return data.length == length(index) && Digest.of(data).equals(chunks.get(index));
    }
}
