package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.papayawalk.core.call.RequestMetadata;

/** Recognizes requests with the same content. Holds no state; safe from any thread. */
final class Fingerprints {

    /** Prevents instances. */
    private Fingerprints() {}

    /**
     * Computes the fingerprint of a request.
     *
     * @param request request
     * @param facts what its caller states
     * @return text that is equal for requests of the same caller, target and body
     */
    static String of(CallerRequest request, RequestMetadata facts) {
        String named =
                request.head().method()
                        + " "
                        + request.head().headers().get(HttpHeaderNames.HOST)
                        + request.head().uri()
                        + " "
                        + facts.apiKey().orElse("");
        long[] name = MurmurHash3.hash128x64(named.getBytes(StandardCharsets.UTF_8));
        long[] body = MurmurHash3.hash128x64(ByteBufUtil.getBytes(request.body()));
        return Long.toHexString(name[0] ^ body[0]) + Long.toHexString(name[1] ^ body[1]);
    }
}
