package org.papayawalk.daemon.standalone.entry;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.admit.Priority;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.config.Configuration;
import org.papayawalk.core.config.FleetPlan;
import org.papayawalk.core.config.UpstreamKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.TeamId;

/** Parses and validates requests of callers. Immutable. */
final class RequestParser {
    /** Path of chat completions, the interface of model engines. */
    static final String CHAT_PATH = "/v1/chat/completions";

    /** Prefix of the paths of services, followed by the fleet and the path for the upstream. */
    static final String SERVICES_PATH = "/v1/services/";

    private static final String DEFAULT_TEAM = "default";
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;
    private static final long MAX_DEADLINE_MILLIS = 120_000;
    private static final int MAX_KEY_CHARACTERS = 128;

    /** Characters at the start of the messages that form the key for prefix cache affinity. */
    private static final int AFFINITY_PREFIX_CHARACTERS = 256;

    /** Methods without side effects. */
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Methods that may be retried unless the plan lists the call as non-idempotent. */
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("PUT", "DELETE");

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONTENT_TOO_LARGE = 413;

    /** Names in lower case of the headers that are forwarded to upstreams. */
    private static final Set<String> FORWARDED_HEADERS =
            Set.of("accept", "content-type", "idempotency-key", "x-papayawalk-team");

    private final int maxBodyBytes;

    /**
     * Creates a parser.
     *
     * @param maxBodyBytes maximum size of a request body in bytes
     */
    RequestParser(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Parses and validates a request, including its body.
     *
     * @param http request as received
     * @param configuration configuration in force
     * @param now present time, from which the deadline counts
     * @return valid request
     * @throws RequestRejectedException if the request is invalid
     * @throws IOException if the body cannot be read, for example because the caller disconnected
     */
    ParsedRequest parse(ClassicHttpRequest http, Configuration configuration, Instant now)
            throws RequestRejectedException, IOException {
        String path = http.getPath();
        if (path.equals(CHAT_PATH)) {
            return parseChat(http, configuration, now);
        }
        if (path.startsWith(SERVICES_PATH)) {
            return parseService(http, configuration, now);
        }
        throw rejected(NOT_FOUND, "path \"%s\" does not exist".formatted(path));
    }

    /**
     * Returns the team of a request.
     *
     * @param http request as received
     * @return team in the header, or the default team without the header
     * @throws RequestRejectedException if the header is not a valid name
     */
    static TeamId team(ClassicHttpRequest http) throws RequestRejectedException {
        try {
            return TeamId.ofPlainName(header(http, CallerHeaders.TEAM).orElse(DEFAULT_TEAM));
        } catch (IllegalArgumentException e) {
            throw rejected(BAD_REQUEST, "header " + CallerHeaders.TEAM + ": " + e.getMessage());
        }
    }

    private ParsedRequest parseChat(
            ClassicHttpRequest http, Configuration configuration, Instant now)
            throws RequestRejectedException, IOException {
        if (!"POST".equals(http.getMethod())) {
            throw rejected(
                    METHOD_NOT_ALLOWED, CHAT_PATH + " accepts only POST, got " + http.getMethod());
        }
        byte[] body = body(http);
        Map<String, Object> json;
        try {
            json = Json.read(body, new TypeReference<>() {});
        } catch (IOException e) {
            throw rejected(BAD_REQUEST, "request body is not a JSON object");
        }
        Object model = json == null ? null : json.get("model");
        if (!(model instanceof String name)) {
            throw rejected(BAD_REQUEST, "field \"model\" is missing or not a string");
        }
        if (!(json.get("messages") instanceof List<?> messages) || messages.isEmpty()) {
            throw rejected(BAD_REQUEST, "field \"messages\" is missing, empty or not a list");
        }
        FleetPlan plan =
                configuration
                        .forModel(name)
                        .orElseThrow(
                                () ->
                                        rejected(
                                                NOT_FOUND,
                                                "model \"%s\" is not served by any fleet"
                                                        .formatted(name)));
        String text = String.valueOf(messages);
        String prefix = text.substring(0, Math.min(AFFINITY_PREFIX_CHARACTERS, text.length()));
        return new ParsedRequest(
                plan,
                team(http),
                priority(http),
                deadline(http, now),
                "POST",
                CHAT_PATH,
                forwardedHeaders(http),
                body,
                fingerprint(team(http), "POST", CHAT_PATH, body),
                Digest.of(prefix.getBytes(StandardCharsets.UTF_8)).shortText(),
                true,
                "",
                PromptParts.of(messages));
    }

    private ParsedRequest parseService(
            ClassicHttpRequest http, Configuration configuration, Instant now)
            throws RequestRejectedException, IOException {
        String rest = http.getPath().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        FleetPlan plan = servicePlan(configuration, name);
        String method = http.getMethod().toUpperCase(Locale.ROOT);
        boolean nonIdempotent = plan.spec().isNonIdempotent(method, path);
        String key = header(http, CallerHeaders.IDEMPOTENCY_KEY).orElse("");
        if (nonIdempotent && !key.matches("[A-Za-z0-9._-]{1," + MAX_KEY_CHARACTERS + "}")) {
            String reason = "%s %s requires header %s: 1 to %d letters, digits, '.', '_' or '-'";
            throw rejected(
                    BAD_REQUEST,
                    reason.formatted(
                            method, path, CallerHeaders.IDEMPOTENCY_KEY, MAX_KEY_CHARACTERS));
        }
        byte[] body = body(http);
        boolean retryable =
                SAFE_METHODS.contains(method)
                        || (IDEMPOTENT_METHODS.contains(method) && !nonIdempotent);
        return new ParsedRequest(
                plan,
                team(http),
                priority(http),
                deadline(http, now),
                method,
                path,
                forwardedHeaders(http),
                body,
                fingerprint(team(http), method, path, body),
                "",
                retryable,
                nonIdempotent ? key : "",
                List.of());
    }

    private static FleetPlan servicePlan(Configuration configuration, String name)
            throws RequestRejectedException {
        Optional<FleetPlan> plan = Optional.empty();
        if (name.matches("[A-Za-z0-9._-]{1,64}")) {
            plan = configuration.fleet(new FleetId(name));
        }
        return plan.filter(p -> p.spec().kind() == UpstreamKind.SERVICE)
                .orElseThrow(
                        () ->
                                rejected(
                                        NOT_FOUND,
                                        "no service fleet is named \"%s\"".formatted(name)));
    }

    private byte[] body(ClassicHttpRequest http) throws RequestRejectedException, IOException {
        HttpEntity entity = http.getEntity();
        if (entity == null) {
            return new byte[0];
        }
        if (entity.getContentLength() > maxBodyBytes) {
            throw bodyTooLarge();
        }
        InputStream in = entity.getContent();
        byte[] data = in.readNBytes(maxBodyBytes + 1);
        if (data.length > maxBodyBytes) {
            throw bodyTooLarge();
        }
        return data;
    }

    private RequestRejectedException bodyTooLarge() {
        return rejected(
                CONTENT_TOO_LARGE,
                "request body exceeds the limit of %d bytes".formatted(maxBodyBytes));
    }

    private static Priority priority(ClassicHttpRequest http) throws RequestRejectedException {
        String text = header(http, CallerHeaders.PRIORITY).orElse("normal");
        for (Priority p : Priority.values()) {
            if (p.name().equalsIgnoreCase(text)) {
                return p;
            }
        }
        throw rejected(
                BAD_REQUEST,
                "header %s is \"%s\"; expected high, normal or low"
                        .formatted(CallerHeaders.PRIORITY, text));
    }

    private static Instant deadline(ClassicHttpRequest http, Instant now)
            throws RequestRejectedException {
        Optional<String> text = header(http, CallerHeaders.DEADLINE);
        long millis = DEFAULT_DEADLINE_MILLIS;
        if (text.isPresent()) {
            if (!text.get().matches("[1-9][0-9]{0,8}")) {
                String reason = "header %s is \"%s\"; expected milliseconds, 1 to 999999999";
                throw rejected(BAD_REQUEST, reason.formatted(CallerHeaders.DEADLINE, text.get()));
            }
            millis = Math.min(MAX_DEADLINE_MILLIS, Long.parseLong(text.get()));
        }
        return now.plus(Duration.ofMillis(millis));
    }

    private static List<HttpHeader> forwardedHeaders(ClassicHttpRequest http) {
        List<HttpHeader> headers = new ArrayList<>();
        for (Header h : http.getHeaders()) {
            if (FORWARDED_HEADERS.contains(h.getName().toLowerCase(Locale.ROOT))) {
                headers.add(new HttpHeader(h.getName(), h.getValue()));
            }
        }
        return headers;
    }

    private static String fingerprint(TeamId team, String method, String path, byte[] body) {
        String prefix = "%s\n%s\n%s\n".formatted(team, method, path);
        MessageDigest sum = Digest.newSha256();
        sum.update(prefix.getBytes(StandardCharsets.UTF_8));
        return Digest.finish(sum, body).value();
    }

    private static Optional<String> header(ClassicHttpRequest http, String name) {
        return Optional.ofNullable(http.getFirstHeader(name)).map(Header::getValue);
    }

    private static RequestRejectedException rejected(int status, String reason) {
        return new RequestRejectedException(ErrorResponse.invalidRequest(status, reason));
    }
}
