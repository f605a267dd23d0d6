package org.papayawalk.lab.standin;

import java.io.IOException;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.LinkPacer;

/**
 * Origin behind a link of limited rate. {@code POST /lab/publish} generates and publishes a
 * version. Thread-safe.
 */
public final class OriginStandIn implements HttpRequestHandler {
    private static final String VERSIONS_PATH_PREFIX = "/v1/versions/";
    private static final int NOT_FOUND = 404;

    private final Map<Digest, PublishedVersion> versions = new ConcurrentHashMap<>();
    private final LinkPacer link;
    private final InstantSource clock;
    private final AtomicLong chunkBytesSent = new AtomicLong();

    // Null until faults are attached.
    private volatile FaultInjector faults;

    /**
     * Creates an origin.
     *
     * @param bytesPerSecond rate of its link
     * @param clock clock that paces the link
     */
    public OriginStandIn(double bytesPerSecond, InstantSource clock) {
        this.link = new LinkPacer(bytesPerSecond);
        this.clock = clock;
    }

    /**
     * Attaches the fault injector before this stand-in. The injector cannot corrupt a chunk, so the
     * stand-in does that itself.
     *
     * @param injector injector whose corruption ratio applies
     */
    public void attachFaults(FaultInjector injector) {
        faults = injector;
    }

    /**
     * Publishes a version. Replaces one with the same digest.
     *
     * @param version version to serve from now on
     */
    public void publish(PublishedVersion version) {
        versions.put(version.digest(), version);
    }

    /**
     * Returns the number of chunk bytes sent.
     *
     * @return bytes since the creation of the stand-in
     */
    public long chunkBytesSent() {
        return chunkBytesSent.get();
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String path = HttpMessages.path(request);
        if (path.equals("/lab/publish")) {
            PublishedVersion generated =
                    PublishedVersion.generate(
                            Json.read(HttpMessages.readBody(request), PublishRequest.class));
            publish(generated);
            HttpMessages.writeJson(response, 200, Map.of("digest", generated.digest()));
            return;
        }
        if (path.equals("/lab/counters")) {
            HttpMessages.writeJson(response, 200, Map.of("chunkBytes", chunkBytesSent.get()));
            return;
        }
        String[] parts = path.startsWith(VERSIONS_PATH_PREFIX) ? path.split("/") : new String[0];
        PublishedVersion version = parts.length > 3 ? versions.get(new Digest(parts[3])) : null;
        if (version == null) {
            HttpMessages.writeError(
                    response, NOT_FOUND, "path \"%s\" does not exist".formatted(path));
        } else if (parts.length == 4) {
            HttpMessages.writeBytes(response, version.manifestBytes());
        } else {
            writeChunk(version, Integer.parseInt(parts[5]), response);
        }
    }

    private void writeChunk(PublishedVersion version, int index, ClassicHttpResponse response)
            throws IOException {
        byte[] data = version.chunk(index);
        FaultInjector f = faults;
        if (f != null && f.nextBoolean(f.faults().corruptRatio())) {
            data[data.length / 2] ^= 1;
        }
        chunkBytesSent.addAndGet(data.length);
        FaultInjector.sleep(link.reserve(data.length, clock.instant()).toMillis());
        HttpMessages.writeBytes(response, data);
    }
}
