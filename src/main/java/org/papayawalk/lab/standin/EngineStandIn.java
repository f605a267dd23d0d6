package org.papayawalk.lab.standin;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.adapter.standalone.EngineSwitchRequest;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.EngineStatus;
import org.papayawalk.core.weight.Manifest;

/**
 * Model engine that generates reproducible text at a fixed rate. Implements the prefix cache,
 * resumed streams, cancellation, staging of versions and engine commands. A prompt with the word
 * {@value #POISON} is a poison request, which crashes the engine before its answer; one with the
 * word {@value #POISON_PART} crashes it at the first token of a stream, or in the middle of another
 * answer. A prompt with the word {@value #UNFRAMED} is answered with neither a length nor chunks.
 * Thread-safe.
 */
public final class EngineStandIn implements HttpRequestHandler {
    /** Word that makes a prompt a poison request. */
    public static final String POISON = "poison-pill";

    /** Word that crashes the engine when it has begun to answer. */
    public static final String POISON_PART = "poison-part";

    /** Word for an answer that ends with its connection. */
    public static final String UNFRAMED = "unframed-answer";

    private static final String STAGING_PATH_PREFIX = "/v1/engine/staging/";
    private static final int MAX_CACHED_PROMPTS = 64;

    // Tokens generated for a request without max_tokens.
    private static final int DEFAULT_TOKENS = 16;

    private static final int UNAVAILABLE = 503;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;

    private final EngineSettings settings;
    private final EngineVersions versions;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong started = new AtomicLong();
    private final AtomicInteger crashes = new AtomicInteger();
    private final CacheEvents cacheEvents = new CacheEvents();
    private final DelayedLoad reportedLoad = new DelayedLoad();

    // Least recently used first; guarded by itself.
    private final Map<String, Boolean> cachedPrompts =
            new LinkedHashMap<>(MAX_CACHED_PROMPTS, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_CACHED_PROMPTS;
                }
            };

    /**
     * Creates an engine that serves no version.
     *
     * @param settings pace and limits
     */
    public EngineStandIn(EngineSettings settings) {
        this.settings = settings;
        this.versions = new EngineVersions(settings.checksFencing());
    }

    /**
     * Returns the version that is served.
     *
     * @return digest of its manifest, {@link Digest#NONE} if no version is served
     */
    public Digest serving() {
        return versions.serving();
    }

    /**
     * Returns the number of requests accepted, including poison requests.
     *
     * @return 0 or more, since the creation of the stand-in
     */
    public long started() {
        return started.get();
    }

    /**
     * Returns the number of crashes.
     *
     * @return 0 or more, since the creation of the stand-in
     */
    public int crashes() {
        return crashes.get();
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String path = HttpMessages.path(request);
        if (path.equals("/v1/chat/completions")) {
            handleChat(request, response, context);
        } else if (path.equals("/v1/health")) {
            EngineStatus status = versions.status(running.get());
            HttpMessages.writeJson(
                    response,
                    200,
                    Map.of("incarnation", status.incarnation(), "serving", status.serving()));
        } else if (path.equals("/v1/engine")) {
            HttpMessages.writeJson(
                    response,
                    200,
                    versions.status(reportedLoad.recordAndReport(running.get(), Instant.now())));
        } else if (path.equals("/v1/engine/cache-events")) {
            long after =
                    Long.parseLong(
                            HttpMessages.queryParameters(request).getOrDefault("after", "0"));
            HttpMessages.writeJson(response, 200, cacheEvents.publishedAfter(after, Instant.now()));
        } else if (path.equals("/v1/engine/role")) {
            RoleChange command = Json.read(HttpMessages.readBody(request), RoleChange.class);
            writeCommandResult(versions.changeRole(command), response);
        } else if (path.equals("/v1/engine/switch")) {
            changeVersion(
                    Json.read(HttpMessages.readBody(request), EngineSwitchRequest.class), response);
        } else if (path.startsWith(STAGING_PATH_PREFIX)) {
            handleStaging(
                    path.substring(STAGING_PATH_PREFIX.length()).split("/"), request, response);
        } else if (path.equals("/lab/counters")) {
            HttpMessages.writeJson(
                    response,
                    200,
                    Map.of(
                            "started", started.get(),
                            "running", running.get(),
                            "crashes", crashes.get()));
        } else {
            HttpMessages.writeError(
                    response, NOT_FOUND, "path \"%s\" does not exist".formatted(path));
        }
    }

    private void changeVersion(EngineSwitchRequest change, ClassicHttpResponse response) {
        writeCommandResult(versions.changeVersion(change), response);
    }

    private void writeCommandResult(Optional<String> refusal, ClassicHttpResponse response) {
        if (refusal.isPresent()) {
            HttpMessages.writeError(response, CONFLICT, refusal.get());
        } else {
            HttpMessages.writeJson(response, 200, versions.status(running.get()));
        }
    }

    private void handleStaging(
            String[] parts, ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException {
        Digest digest = new Digest(parts[0]);
        byte[] body = HttpMessages.readBody(request);
        String step = parts.length > 1 ? parts[1] : "";
        switch (step) {
            case "" -> {
                versions.beginStaging(digest, Json.read(body, Manifest.class));
                HttpMessages.writeJson(response, 200, versions.status(running.get()));
            }
            case "bytes" -> {
                long offset = Long.parseLong(HttpMessages.queryParameters(request).get("offset"));
                if (versions.writeStaged(digest, offset, body)) {
                    HttpMessages.writeJson(response, 200, body.length);
                } else {
                    String reason =
                            "cannot write %d bytes at offset %d of version %s;"
                                    + " staging area holds %s";
                    HttpMessages.writeError(
                            response,
                            CONFLICT,
                            reason.formatted(body.length, offset, digest, versions));
                }
            }
            case "seal" -> {
                Optional<Digest> whole = versions.seal(digest);
                if (whole.isPresent()) {
                    HttpMessages.writeJson(response, 200, whole.get());
                } else {
                    HttpMessages.writeError(
                            response,
                            CONFLICT,
                            "cannot seal version %s; staging area holds %s"
                                    .formatted(digest, versions));
                }
            }
            default ->
                    HttpMessages.writeError(
                            response,
                            NOT_FOUND,
                            ("staging step \"%s\" does not exist;"
                                            + " expected none, \"bytes\" or \"seal\"")
                                    .formatted(step));
        }
    }

    private void handleChat(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        Map<String, Object> body =
                Json.read(HttpMessages.readBody(request), new TypeReference<>() {});
        String prompt = String.valueOf(body.get("messages"));
        Digest version = versions.serving();
        if (!version.isPresent() || running.get() >= settings.maxRunning()) {
            HttpMessages.writeError(
                    response,
                    UNAVAILABLE,
                    ("engine cannot take the request: it serves version \"%s\""
                                    + " and runs %d requests, at most %d")
                            .formatted(version, running.get(), settings.maxRunning()));
            return;
        }
        started.incrementAndGet();
        int tokens = parseIntOr(body.get("max_tokens"), DEFAULT_TOKENS);
        int resumeFrom = parseIntOr(header(request, CallerHeaders.RESUME_FROM), 0);
        int crashesAtStart = crashes.get();
        if (prompt.contains(POISON)) {
            throw crash();
        }
        response.setCode(200);
        response.setHeader(CallerHeaders.MODEL_DIGEST, version.value());
        if (prompt.contains(UNFRAMED)) {
            // The library knows no chunks for this version.
            context.setProtocolVersion(HttpVersion.HTTP_1_0);
        }
        Generation g = new Generation(version, prompt, tokens, resumeFrom, crashesAtStart);
        if (Boolean.TRUE.equals(body.get("stream"))) {
            response.setEntity(
                    new EntityTemplate(
                            -1, ContentType.TEXT_EVENT_STREAM, null, out -> streamTokens(g, out)));
        } else {
            byte[] answer = Json.write(generateWhole(g));
            response.setEntity(
                    new EntityTemplate(
                            prompt.contains(UNFRAMED) ? -1 : answer.length,
                            ContentType.APPLICATION_JSON,
                            null,
                            out -> writeWhole(g, answer, out)));
        }
    }

    private void writeWhole(Generation g, byte[] answer, OutputStream out) throws IOException {
        int half = answer.length / 2;
        out.write(answer, 0, half);
        if (g.prompt().contains(POISON_PART)) {
            out.flush();
            crashWhileAnswering(g);
            return;
        }
        out.write(answer, half, answer.length - half);
    }

    private void streamTokens(Generation g, OutputStream out) throws IOException {
        running.incrementAndGet();
        try {
            prefill(g.prompt());
            for (int i = g.resumeFrom(); i < g.tokens(); i++) {
                failIfCrashed(g);
                Object delta = Map.of("content", EngineText.token(g.version(), g.prompt(), i));
                Object choice = Map.of("index", 0, "delta", delta);
                writeEvent(out, new String(Json.write(Map.of("choices", List.of(choice)))));
                if (g.prompt().contains(POISON_PART)) {
                    crashWhileAnswering(g);
                    return;
                }
                FaultInjector.sleep(settings.tokenMillis());
            }
            if (g.resumeFrom() <= g.tokens()) {
                writeEvent(out, "[DONE]");
            }
        } finally {
            running.decrementAndGet();
        }
    }

    private Object generateWhole(Generation g) throws IOException {
        running.incrementAndGet();
        try {
            prefill(g.prompt());
            FaultInjector.sleep(settings.tokenMillis() * g.tokens());
            failIfCrashed(g);
            String text = EngineText.text(g.version(), g.prompt(), g.tokens());
            Object message = Map.of("role", "assistant", "content", text);
            return Map.of("choices", List.of(Map.of("index", 0, "message", message)));
        } finally {
            running.decrementAndGet();
        }
    }

    // The end of the process closes the connection, which ends an unframed answer in order.
    private void crashWhileAnswering(Generation g) throws IOException {
        ConnectionClosedException crash = crash();
        if (!g.prompt().contains(UNFRAMED)) {
            throw crash;
        }
    }

    private ConnectionClosedException crash() {
        versions.crash();
        crashes.incrementAndGet();
        return new ConnectionClosedException("engine crashed by a poison request");
    }

    private void failIfCrashed(Generation g) throws IOException {
        if (crashes.get() != g.crashesAtStart()) {
            throw new ConnectionClosedException("engine crashed while the request was running");
        }
    }

    // Sleeps for the time to the first token, a quarter of it if the prompt is cached.
    private void prefill(String prompt) throws IOException {
        boolean cached;
        synchronized (cachedPrompts) {
            cached = cachedPrompts.put(prompt, true) != null;
        }
        if (!cached) {
            byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
            cacheEvents.add(Digest.of(bytes).shortText(), Instant.now());
        }
        FaultInjector.sleep(cached ? settings.prefillMillis() / 4 : settings.prefillMillis());
    }

    private static void writeEvent(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String header(ClassicHttpRequest request, String name) {
        Header h = request.getFirstHeader(name);
        return h == null ? null : h.getValue();
    }

    private static int parseIntOr(Object value, int defaultValue) {
        return value == null ? defaultValue : Integer.parseInt(String.valueOf(value));
    }

    /**
     * Generation that a request asks for. Immutable.
     *
     * @param version version that generates the text
     * @param prompt text of the messages
     * @param tokens number of tokens of the whole text
     * @param resumeFrom number of leading tokens that the caller already has
     * @param crashesAtStart crashes of the engine when the request started
     */
    private record Generation(
            Digest version, String prompt, int tokens, int resumeFrom, int crashesAtStart) {}
}
