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
import org.papayawalk.adapter.Json;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.LinkPacer;

/**
 * Origin behind a link of limited rate. {@code POST /lab/publish} makes a version up. Thread-safe.
 */
public final class OriginStandIn implements HttpRequestHandler {
    /** Start of the paths of versions. */
    private static final String VERSIONS_PATH_PREFIX = "/v1/versions/";

    /** Status of something that does not exist. */
    private static final int NOT_FOUND = 404;

    /** Versions by digest. */
    private final Map<Digest, PublishedVersion> versions = new ConcurrentHashMap<>();

    /** Link. */
    private final LinkPacer link;

    /** Clock. */
    private final InstantSource clock;

    /** Bytes of chunks sent. */
    private final AtomicLong chunkBytesSent = new AtomicLong();

    /** Faults of the stand-in, or null before they are attached. */
    private volatile FaultInjector faults;

    /**
     * Creates an origin.
     *
     * @param bytesPerSecond rate of its link
     * @param clock clock
     */
    public OriginStandIn(double bytesPerSecond, InstantSource clock) {
        this.link = new LinkPacer(bytesPerSecond);
        this.clock = clock;
    }

    /**
     * Attaches the faults, whose corruption this stand-in carries out itself.
     *
     * @param faultSwitch faults before this stand-in
     */
    public void attachFaults(FaultInjector faultSwitch) {
        faults = faultSwitch;
    }

    /**
     * Adds a version.
     *
     * @param version version
     */
    public void publish(PublishedVersion version) {
        versions.put(version.digest(), version);
    }

    /**
     * Returns the bytes of chunks sent.
     *
     * @return bytes since the start
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
            PublishedVersion made =
                    PublishedVersion.generate(
                            Json.read(HttpMessages.readBody(request), PublishRequest.class));
            publish(made);
            HttpMessages.writeJson(response, 200, Map.of("digest", made.digest()));
            return;
        }
        if (path.equals("/lab/counters")) {
            HttpMessages.writeJson(response, 200, Map.of("chunkBytes", chunkBytesSent.get()));
            return;
        }
        String[] parts = path.startsWith(VERSIONS_PATH_PREFIX) ? path.split("/") : new String[0];
        PublishedVersion version = parts.length > 3 ? versions.get(new Digest(parts[3])) : null;
        if (version == null) {
            HttpMessages.writeError(response, NOT_FOUND, "path " + path + " does not exist");
        } else if (parts.length == 4) {
            HttpMessages.writeBytes(response, version.manifestBytes());
        } else {
            writeChunk(version, Integer.parseInt(parts[5]), response);
        }
    }

    /**
     * Answers with a chunk at the pace of the link.
     *
     * @param version version
     * @param index index of the chunk
     * @param response response to fill
     * @throws IOException if the thread is interrupted
     */
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
