package org.papayawalk.lab.standin;

import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.papayawalk.adapter.ManifestCodec;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;

/**
 * Version with made-up content that follows from its seed. Immutable; safe from any thread.
 *
 * @param digest digest of the manifest
 * @param manifestBytes bytes of the manifest
 * @param manifest manifest
 * @param weights content
 */
public record PublishedVersion(
        Digest digest, byte[] manifestBytes, Manifest manifest, byte[] weights) {

    /**
     * Makes a version up.
     *
     * @param request what to make
     * @return the version
     */
    public static PublishedVersion generate(PublishRequest request) {
        byte[] weights = new byte[(int) request.sizeBytes()];
        new Random(request.seed()).nextBytes(weights);
        List<Digest> chunks = new ArrayList<>();
        for (int at = 0; at < weights.length; at += request.chunkBytes()) {
            int length = Math.min(request.chunkBytes(), weights.length - at);
            MessageDigest sum = Digest.newSha256();
            sum.update(weights, at, length);
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
     * Returns a chunk.
     *
     * @param index index of the chunk
     * @return a copy of its bytes
     */
    public byte[] chunk(int index) {
        int start = (int) manifest.offset(index);
        return Arrays.copyOfRange(weights, start, start + manifest.length(index));
    }
}
