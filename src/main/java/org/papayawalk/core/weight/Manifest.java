package org.papayawalk.core.weight;

import java.util.List;
import org.papayawalk.core.id.Digest;

/**
 * Description of a version, named by the digest of its bytes. Immutable.
 *
 * @param model name of the model
 * @param adapter name of the adapter, may be empty
 * @param version name of the version
 * @param sizeBytes length of the weights in bytes
 * @param chunkBytes length of every chunk but the last in bytes
 * @param chunks SHA-256 of each chunk
 * @param whole SHA-256 of the weights
 */
public record Manifest(
        String model,
        String adapter,
        String version,
        long sizeBytes,
        int chunkBytes,
        List<Digest> chunks,
        Digest whole) {
    /** Largest chunk in bytes. */
    public static final int MAX_CHUNK_BYTES = 4 * 1024 * 1024;

    /**
     * Checks that the lengths agree.
     *
     * @param model name of the model
     * @param adapter name of the adapter
     * @param version name of the version
     * @param sizeBytes length of the weights
     * @param chunkBytes length of a chunk
     * @param chunks digests of the chunks
     * @param whole digest of the weights
     * @throws IllegalArgumentException if the number of chunks does not follow from the lengths
     */
    public Manifest {
        if (chunkBytes < 1 || chunkBytes > MAX_CHUNK_BYTES) {
            String reason = "chunk length %d is not between 1 and %d bytes";
            throw new IllegalArgumentException(reason.formatted(chunkBytes, MAX_CHUNK_BYTES));
        }
        long expected = (sizeBytes + chunkBytes - 1) / chunkBytes;
        if (sizeBytes < 1 || expected != chunks.size()) {
            String reason = "manifest gives %d bytes in %d chunks of %d bytes";
            throw new IllegalArgumentException(
                    reason.formatted(sizeBytes, chunks.size(), chunkBytes));
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
     * Returns the place of a chunk in the weights.
     *
     * @param index index of the chunk
     * @return offset in bytes
     */
    public long offset(int index) {
        return (long) index * chunkBytes;
    }

    /**
     * Returns the length of a chunk.
     *
     * @param index index of the chunk
     * @return length in bytes
     */
    public int length(int index) {
        return (int) Math.min(chunkBytes, sizeBytes - offset(index));
    }

    /**
     * Tells whether bytes are the chunk.
     *
     * @param index index of the chunk
     * @param data bytes received
     * @return true if length and digest match
     */
    public boolean matches(int index, byte[] data) {
        return data.length == length(index) && Digest.of(data).equals(chunks.get(index));
    }
}
