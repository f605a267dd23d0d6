package org.papayawalk.lab.standin;

import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.papayawalk.adapter.standalone.ManifestCodec;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;

/**
 * Version whose random content is determined by a seed. The arrays must not be changed.
 * Thread-safe.
 *
 * @param digest digest of the manifest
 * @param manifestBytes encoded manifest
 * @param manifest manifest
 * @param weights content of the weights
 */
public record PublishedVersion(
        Digest digest, byte[] manifestBytes, Manifest manifest, byte[] weights) {

    /**
     * Generates a version. The same request gives the same version.
     *
     * @param request names, sizes and seed
     * @return version with its manifest
     */
    public static PublishedVersion generate(PublishRequest request) {
        byte[] weights = new byte[(int) request.sizeBytes()];
        new Random(request.seed()).nextBytes(weights);
        List<Digest> chunks = new ArrayList<>();
        for (int offset = 0; offset < weights.length; offset += request.chunkBytes()) {
            int length = Math.min(request.chunkBytes(), weights.length - offset);
            MessageDigest sum = Digest.newSha256();
            sum.update(weights, offset, length);
            chunks.add(Digest.finish(sum, new byte[0]));
        }
        Manifest manifest =
                new Manifest(
                        request.model(),
                        request.adapter(),
                        request.version(),
                        weights.length,
                        request.chunkBytes(),
                        chunks,
                        Digest.of(weights));
        byte[] data = ManifestCodec.write(manifest);
        return new PublishedVersion(Digest.of(data), data, manifest, weights);
    }

    /**
     * Returns the content of a chunk.
     *
     * @param index index of the chunk, from 0
     * @return a copy of its bytes
     */
    public byte[] chunk(int index) {
        int start = (int) manifest.offset(index);
        return Arrays.copyOfRange(weights, start, start + manifest.length(index));
    }
}
