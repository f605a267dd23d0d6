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

/** Checks callers' requests. Holds no changeable state; safe from any thread. */
final class RequestParser {
    /** Path of the models' interface. */
    static final String CHAT_PATH = "/v1/chat/completions";

    /** Start of the paths of plain services. */
    static final String SERVICES_PATH = "/v1/services/";

    /** Team of a caller that names none. */
    private static final String DEFAULT_TEAM = "default";

    /** Time that a caller waits if it does not say. */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /** Longest time that a caller may wait. */
    private static final long MAX_DEADLINE_MILLIS = 120_000;

    /** Longest idempotency key. */
    private static final int MAX_KEY_LENGTH = 128;

    /** Bytes of the prompt's start that decide affinity. */
    private static final int AFFINITY_CHARACTERS = 256;

    /** Methods without effect on the upstream. */
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Methods that may be repeated. */
    private static final Set<String> REPEATABLE_METHODS = Set.of("PUT", "DELETE");

    /** Status of a wrong request. */
    private static final int BAD_REQUEST = 400;

    /** Status of an unknown path, model or fleet. */
    private static final int NOT_FOUND = 404;

    /** Status of a wrong method. */
    private static final int METHOD_NOT_ALLOWED = 405;

    /** Status of a body over the limit. */
    private static final int TOO_LARGE = 413;

    /** Headers that are passed on to upstreams. */
    private static final Set<String> PASSED_HEADERS =
            Set.of("accept", "content-type", "idempotency-key", "x-papayawalk-team");

    /** Largest body in bytes. */
    private final int maxBodyBytes;

    /**
     * Creates a parser.
     *
     * @param maxBodyBytes largest body in bytes
     */
    RequestParser(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Checks a request.
     *
     * @param http request
     * @param configuration configuration in force
     * @param now present time
     * @return checked request
     * @throws RequestRejectedException if the request is wrong
     * @throws IOException if the caller has gone
     */
    ParsedRequest parse(ClassicHttpRequest http, Configuration configuration, Instant now)
            throws RequestRejectedException, IOException {
        String path = http.getPath();
        if (path.equals(CHAT_PATH)) {
            return chat(http, configuration, now);
        }
        if (path.startsWith(SERVICES_PATH)) {
            return service(http, configuration, now);
        }
        throw wrong(NOT_FOUND, "path \"%s\" does not exist".formatted(path));
    }

    /**
     * Returns the team of a request.
     *
     * @param http request
     * @return team, the default one if none is named
     * @throws RequestRejectedException if the name is malformed
     */
    static TeamId team(ClassicHttpRequest http) throws RequestRejectedException {
        try {
            return new TeamId(header(http, CallerHeaders.TEAM).orElse(DEFAULT_TEAM));
        } catch (IllegalArgumentException e) {
            throw wrong(BAD_REQUEST, CallerHeaders.TEAM + ": " + e.getMessage());
        }
    }

    /**
     * Checks a request to a model.
     *
     * @param http request
     * @param configuration configuration in force
     * @param now present time
     * @return checked request
     * @throws RequestRejectedException if the request is wrong
     * @throws IOException if the caller has gone
     */
    private ParsedRequest chat(ClassicHttpRequest http, Configuration configuration, Instant now)
            throws RequestRejectedException, IOException {
        if (!"POST".equals(http.getMethod())) {
            throw wrong(METHOD_NOT_ALLOWED, CHAT_PATH + " takes POST, not " + http.getMethod());
        }
        byte[] body = body(http);
        Map<String, Object> json;
        try {
            json = Json.read(body, new TypeReference<>() {});
        } catch (IOException e) {
            throw wrong(BAD_REQUEST, "the body is not a JSON object");
        }
        Object model = json == null ? null : json.get("model");
        if (!(model instanceof String name)) {
            throw wrong(BAD_REQUEST, "field \"model\" is missing or not a text");
        }
        if (!(json.get("messages") instanceof List<?> messages) || messages.isEmpty()) {
            throw wrong(BAD_REQUEST, "field \"messages\" is missing or not a list");
        }
        FleetPlan plan =
                configuration
                        .forModel(name)
                        .orElseThrow(
                                () ->
                                        wrong(
                                                NOT_FOUND,
                                                "model \"%s\" is not served".formatted(name)));
        String text = String.valueOf(messages);
        String prefix = text.substring(0, Math.min(AFFINITY_CHARACTERS, text.length()));
        return new ParsedRequest(
                plan,
                team(http),
                priority(http),
                deadline(http, now),
                "POST",
                CHAT_PATH,
                passedHeaders(http),
                body,
                fingerprint(team(http), "POST", CHAT_PATH, body),
                Digest.of(prefix.getBytes(StandardCharsets.UTF_8)).shortText(),
                true,
                "");
    }

    /**
     * Checks a request to a plain service.
     *
     * @param http request
     * @param configuration configuration in force
     * @param now present time
     * @return checked request
     * @throws RequestRejectedException if the request is wrong
     * @throws IOException if the caller has gone
     */
    private ParsedRequest service(ClassicHttpRequest http, Configuration configuration, Instant now)
            throws RequestRejectedException, IOException {
        String rest = http.getPath().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        FleetPlan plan = servicePlan(configuration, name);
        String method = http.getMethod().toUpperCase(Locale.ROOT);
        boolean once = plan.spec().isNonIdempotent(method, path);
        String key = header(http, CallerHeaders.IDEMPOTENCY_KEY).orElse("");
        if (once && !key.matches("[A-Za-z0-9._-]{1," + MAX_KEY_LENGTH + "}")) {
            String reason = "%s %s needs header %s of 1 to %d letters, digits, dots or dashes";
            throw wrong(
                    BAD_REQUEST,
                    reason.formatted(method, path, CallerHeaders.IDEMPOTENCY_KEY, MAX_KEY_LENGTH));
        }
        byte[] body = body(http);
        boolean safe =
                SAFE_METHODS.contains(method) || (REPEATABLE_METHODS.contains(method) && !once);
        return new ParsedRequest(
                plan,
                team(http),
                priority(http),
                deadline(http, now),
                method,
                path,
                passedHeaders(http),
                body,
                fingerprint(team(http), method, path, body),
                "",
                safe,
                once ? key : "");
    }

    /**
     * Looks up the plan of a service fleet.
     *
     * @param configuration configuration in force
     * @param name name in the path
     * @return its plan
     * @throws RequestRejectedException if there is no such fleet
     */
    private static FleetPlan servicePlan(Configuration configuration, String name)
            throws RequestRejectedException {
        Optional<FleetPlan> plan = Optional.empty();
        if (name.matches("[A-Za-z0-9._-]{1,64}")) {
            plan = configuration.fleet(new FleetId(name));
        }
        return plan.filter(p -> p.spec().kind() == UpstreamKind.SERVICE)
                .orElseThrow(
                        () -> wrong(NOT_FOUND, "service \"%s\" is not listed".formatted(name)));
    }

    /**
     * Reads the body, at most as far as the limit.
     *
     * @param http request
     * @return body
     * @throws RequestRejectedException if the body is over the limit
     * @throws IOException if the caller has gone
     */
    private byte[] body(ClassicHttpRequest http) throws RequestRejectedException, IOException {
        HttpEntity entity = http.getEntity();
        if (entity == null) {
            return new byte[0];
        }
        if (entity.getContentLength() > maxBodyBytes) {
            throw tooLarge();
        }
        InputStream in = entity.getContent();
        byte[] data = in.readNBytes(maxBodyBytes + 1);
        if (data.length > maxBodyBytes) {
            throw tooLarge();
        }
        return data;
    }

    /**
     * Makes the refusal of a body over the limit.
     *
     * @return refusal
     */
    private RequestRejectedException tooLarge() {
        return wrong(TOO_LARGE, "the body is over the limit of %d bytes".formatted(maxBodyBytes));
    }

    /**
     * Reads the priority.
     *
     * @param http request
     * @return priority, normal if none is named
     * @throws RequestRejectedException if the name is unknown
     */
    private static Priority priority(ClassicHttpRequest http) throws RequestRejectedException {
        String text = header(http, CallerHeaders.PRIORITY).orElse("normal");
        for (Priority p : Priority.values()) {
            if (p.name().equalsIgnoreCase(text)) {
                return p;
            }
        }
        throw wrong(
                BAD_REQUEST,
                "%s \"%s\" is not high, normal or low".formatted(CallerHeaders.PRIORITY, text));
    }

    /**
     * Reads the deadline.
     *
     * @param http request
     * @param now present time
     * @return when the caller gives up
     * @throws RequestRejectedException if the number is malformed
     */
    private static Instant deadline(ClassicHttpRequest http, Instant now)
            throws RequestRejectedException {
        Optional<String> text = header(http, CallerHeaders.DEADLINE);
        long millis = DEFAULT_DEADLINE_MILLIS;
        if (text.isPresent()) {
            if (!text.get().matches("[1-9][0-9]{0,8}")) {
                String reason = "%s \"%s\" is not a whole number of milliseconds above 0";
                throw wrong(BAD_REQUEST, reason.formatted(CallerHeaders.DEADLINE, text.get()));
            }
            millis = Math.min(MAX_DEADLINE_MILLIS, Long.parseLong(text.get()));
        }
        return now.plus(Duration.ofMillis(millis));
    }

    /**
     * Selects the headers for the upstream.
     *
     * @param http request
     * @return headers
     */
    private static List<HttpHeader> passedHeaders(ClassicHttpRequest http) {
        List<HttpHeader> headers = new ArrayList<>();
        for (Header h : http.getHeaders()) {
            if (PASSED_HEADERS.contains(h.getName().toLowerCase(Locale.ROOT))) {
                headers.add(new HttpHeader(h.getName(), h.getValue()));
            }
        }
        return headers;
    }

    /**
     * Computes the fingerprint of a request.
     *
     * @param team team that sends it
     * @param method HTTP method
     * @param path path
     * @param body body
     * @return digest
     */
    private static String fingerprint(TeamId team, String method, String path, byte[] body) {
        String start = "%s\n%s\n%s\n".formatted(team, method, path);
        MessageDigest sum = Digest.newSha256();
        sum.update(start.getBytes(StandardCharsets.UTF_8));
        return Digest.finish(sum, body).value();
    }

    /**
     * Returns a header.
     *
     * @param http request
     * @param name name of the header
     * @return first value, or empty
     */
    private static Optional<String> header(ClassicHttpRequest http, String name) {
        return Optional.ofNullable(http.getFirstHeader(name)).map(Header::getValue);
    }

    /**
     * Makes the refusal of a wrong request.
     *
     * @param status HTTP status
     * @param reason why
     * @return refusal
     */
    private static RequestRejectedException wrong(int status, String reason) {
        return new RequestRejectedException(ErrorResponse.wrong(status, reason));
    }
}
