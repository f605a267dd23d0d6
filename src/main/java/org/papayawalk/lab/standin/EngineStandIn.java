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
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.adapter.Json;
import org.papayawalk.adapter.VersionChange;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.EngineStatus;
import org.papayawalk.core.weight.Manifest;

/**
 * Model engine that generates computable text at a set pace, with a prefix cache, resume, cancel,
 * staging and orders. A prompt with the word {@value #POISON} crashes it. Thread-safe.
 */
public final class EngineStandIn implements HttpRequestHandler {
    /** Word that crashes the engine. */
    public static final String POISON = "poison-pill";

    /** Start of the paths of orders. */
    private static final String STAGING_PATH_PREFIX = "/v1/engine/staging/";

    /** Prompts that the prefix cache holds. */
    private static final int MAX_CACHED_PROMPTS = 64;

    /** Tokens generated if the request does not say. */
    private static final int DEFAULT_TOKENS = 16;

    /** Status of a full engine. */
    private static final int UNAVAILABLE = 503;

    /** Status of a failed condition. */
    private static final int CONFLICT = 409;

    /** Status of something that does not exist. */
    private static final int NOT_FOUND = 404;

    /** Settings. */
    private final EngineSettings settings;

    /** Versions. */
    private final EngineVersions versions;

    /** Requests that run. */
    private final AtomicInteger running = new AtomicInteger();

    /** Requests started. */
    private final AtomicLong started = new AtomicLong();

    /** Crashes. */
    private final AtomicInteger crashes = new AtomicInteger();

    /** Cache events. */
    private final CacheEvents cacheEvents = new CacheEvents();

    /** Load that is reported. */
    private final DelayedLoad reportedLoad = new DelayedLoad();

    /** Prompts cached, least recently used first. */
    private final Map<String, Boolean> cachedPrompts =
            new LinkedHashMap<>(MAX_CACHED_PROMPTS, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MAX_CACHED_PROMPTS;
                }
            };

    /**
     * Creates an engine that serves nothing.
     *
     * @param settings settings
     */
    public EngineStandIn(EngineSettings settings) {
        this.settings = settings;
        this.versions = new EngineVersions(settings.checksFencing());
    }

    /**
     * Returns the version that serves.
     *
     * @return digest, or none
     */
    public Digest serving() {
        return versions.serving();
    }

    /**
     * Returns the requests started.
     *
     * @return number since the start
     */
    public long started() {
        return started.get();
    }

    /**
     * Returns the crashes.
     *
     * @return number since the start
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
            handleChat(request, response);
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
            RoleChange order = Json.read(HttpMessages.readBody(request), RoleChange.class);
            writeOrderResult(versions.changeRole(order), response);
        } else if (path.equals("/v1/engine/switch")) {
            changeVersion(Json.read(HttpMessages.readBody(request), VersionChange.class), response);
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
            HttpMessages.writeError(response, NOT_FOUND, "path " + path + " does not exist");
        }
    }

    /**
     * Carries out an order to change the version.
     *
     * @param change order
     * @param response response to fill
     */
    private void changeVersion(VersionChange change, ClassicHttpResponse response) {
        writeOrderResult(versions.changeVersion(change), response);
    }

    /**
     * Answers an order.
     *
     * @param refusal empty if it was carried out, else why not
     * @param response response to fill
     */
    private void writeOrderResult(Optional<String> refusal, ClassicHttpResponse response) {
        if (refusal.isPresent()) {
            HttpMessages.writeError(response, CONFLICT, refusal.get());
        } else {
            HttpMessages.writeJson(response, 200, versions.status(running.get()));
        }
    }

    /**
     * Carries out a step of staging.
     *
     * @param parts digest and step
     * @param request request
     * @param response response to fill
     * @throws IOException if the connection was lost
     */
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
                    String reason = "cannot write %d bytes at %d of %s, staging is %s";
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
                    HttpMessages.writeError(response, CONFLICT, "another version is being staged");
                }
            }
            default ->
                    HttpMessages.writeError(
                            response, NOT_FOUND, "step " + step + " does not exist");
        }
    }

    /**
     * Runs a request.
     *
     * @param request request
     * @param response response to fill
     * @throws IOException if the connection was lost or the engine crashes
     */
    private void handleChat(ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException {
        Map<String, Object> body =
                Json.read(HttpMessages.readBody(request), new TypeReference<>() {});
        String prompt = String.valueOf(body.get("messages"));
        Digest version = versions.serving();
        if (!version.isPresent() || running.get() >= settings.maxRunning()) {
            HttpMessages.writeError(response, UNAVAILABLE, "the engine is full or serves nothing");
            return;
        }
        started.incrementAndGet();
        int tokens = parseIntOr(body.get("max_tokens"), DEFAULT_TOKENS);
        int from = parseIntOr(header(request, CallerHeaders.RESUME_FROM), 0);
        int epoch = crashes.get();
        if (prompt.contains(POISON)) {
            versions.crash();
            crashes.incrementAndGet();
            throw new ConnectionClosedException("the engine crashed");
        }
        response.setCode(200);
        response.setHeader(CallerHeaders.MODEL_DIGEST, version.value());
        Generation g = new Generation(version, prompt, tokens, from, epoch);
        if (Boolean.TRUE.equals(body.get("stream"))) {
            response.setEntity(
                    new EntityTemplate(
                            -1, ContentType.TEXT_EVENT_STREAM, null, out -> streamTokens(g, out)));
        } else {
            HttpMessages.writeJson(response, 200, generateWhole(g));
        }
    }

    /**
     * Streams the tokens of a request.
     *
     * @param g what to generate
     * @param out connection
     * @throws IOException if the connection was lost or the engine crashes
     */
    private void streamTokens(Generation g, OutputStream out) throws IOException {
        running.incrementAndGet();
        try {
            prefill(g.prompt());
            for (int i = g.resumeFrom(); i < g.tokens(); i++) {
                failIfCrashed(g);
                Object delta = Map.of("content", EngineText.token(g.version(), g.prompt(), i));
                Object choice = Map.of("index", 0, "delta", delta);
                writeEvent(out, new String(Json.write(Map.of("choices", List.of(choice)))));
                FaultInjector.sleep(settings.tokenMillis());
            }
            if (g.resumeFrom() <= g.tokens()) {
                writeEvent(out, "[DONE]");
            }
        } finally {
            running.decrementAndGet();
        }
    }

    /**
     * Generates a whole answer.
     *
     * @param g what to generate
     * @return body of the answer
     * @throws IOException if the engine crashes
     */
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

    /**
     * Breaks a request off if the engine has crashed since it started.
     *
     * @param g request
     * @throws IOException if the engine has crashed
     */
    private void failIfCrashed(Generation g) throws IOException {
        if (crashes.get() != g.crashesAtStart()) {
            throw new ConnectionClosedException("the engine crashed");
        }
    }

    /**
     * Spends the time to the first token, less if the prompt is cached.
     *
     * @param prompt text of the messages
     * @throws IOException if the thread is interrupted
     */
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

    /**
     * Sends an event.
     *
     * @param out connection
     * @param data data of the event
     * @throws IOException if the connection was lost
     */
    private static void writeEvent(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /**
     * Returns a header.
     *
     * @param request request
     * @param name name of the header
     * @return value, or null
     */
    private static String header(ClassicHttpRequest request, String name) {
        Header h = request.getFirstHeader(name);
        return h == null ? null : h.getValue();
    }

    /**
     * Reads a number.
     *
     * @param value number, text or null
     * @param otherwise value if there is none
     * @return number
     */
    private static int parseIntOr(Object value, int otherwise) {
        return value == null ? otherwise : Integer.parseInt(String.valueOf(value));
    }

    /**
     * What to generate for a request. Immutable.
     *
     * @param version version
     * @param prompt text of the messages
     * @param tokens number of tokens
     * @param resumeFrom tokens that the caller already has
     * @param crashesAtStart crashes of the engine when the request started
     */
    private record Generation(
            Digest version, String prompt, int tokens, int resumeFrom, int crashesAtStart) {}
}
