package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.papayawalk.core.call.RequestMetadata;

/**
 * Computes fingerprints that identify requests with the same content. Stateless and thread-safe.
 */
final class Fingerprints {

    private Fingerprints() {}

    /**
     * Computes the fingerprint of a request.
     *
     * @param request request
     * @param metadata metadata stated by its caller
     * @return hexadecimal text that is equal for requests with the same key, method, target and
     *     body
     */
    static String of(CallerRequest request, RequestMetadata metadata) {
        String target =
                request.head().method()
                        + " "
                        + request.head().headers().get(HttpHeaderNames.HOST)
                        + request.head().uri()
                        + " "
                        + metadata.apiKey().orElse("");
        long[] targetHash = MurmurHash3.hash128x64(target.getBytes(StandardCharsets.UTF_8));
        long[] bodyHash = MurmurHash3.hash128x64(ByteBufUtil.getBytes(request.body()));
        return Long.toHexString(targetHash[0] ^ bodyHash[0])
                + Long.toHexString(targetHash[1] ^ bodyHash[1]);
    }
}
