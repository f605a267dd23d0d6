package org.papayawalk.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.papayawalk.core.call.AttemptParameters;
import org.papayawalk.core.call.ReportedLoad;
import org.papayawalk.core.call.RequestMetadata;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.id.PromptPartId;

/** Headers of requests and responses on the managed platform. Stateless; thread-safe. */
public final class HeaderCodec {
    /** Id that the caller gives to one attempt. */
    private static final String REQUEST_ID = "X-Request-Id";

    /** Milliseconds that the sender still waits; a duration, not a point in time. */
    private static final String REMAINING_MILLIS = "X-Deadline-Ms";

    /** API key of the caller; never forwarded. */
    private static final String API_KEY = "X-Credential";

    /** Team that owns the API key; a value sent by the caller is replaced or removed. */
    private static final String TEAM = "X-Tenant";

    /** Id of the server that the request is addressed to; other servers reject it. */
    private static final String EXPECTED_SERVER = "X-Expect-Instance";

    /** Version of the weights that must answer the request. */
    private static final String EXPECTED_VERSION = "X-Expect-Version";

    /** Priority at the server, 0 is the most urgent. */
    private static final String PRIORITY = "X-Request-Priority";

    /** Id of the last event of a stream that the sender received. */
    private static final String LAST_EVENT_ID = "Last-Event-Id";

    /** Name of the model that the request is for. */
    private static final String MODEL = "X-Model";

    /** Prompt tokens and maximum answer tokens of a request, separated by a comma. */
    private static final String TOKENS = "X-Token-Usage";

    /** Parts of the prompt in order, each its id and number of tokens, separated by commas. */
    private static final String PROMPT_PARTS = "X-Prompt-Prefix";

    /** Further parts of a prompt are left out. */
    private static final int MAX_PROMPT_PARTS = 32;

    /** Authentication code that a server puts on its own responses. */
    private static final String SERVER_STAMP = "X-Server-Stamp";

    /** Present if the server did not execute the request. */
    private static final String NOT_EXECUTED = "X-Not-Executed";

    /**
     * Load of the server: running requests, waiting requests, slots and, from some servers, how
     * long work takes there in percent of the usual time, separated by commas.
     */
    private static final String LOAD = "X-Server-Load";

    /** Requests per second, a decimal number, that the server takes from all machines together. */
    private static final String LIMIT = "Server-Limit";

    /** Present with {@link #YES} if the server leaves. */
    private static final String LEAVING = "Server-Leaving";

    /** Value of a header that states something by its presence. */
    private static final String YES = "1";

    /** Seconds, a decimal number, for which a server that refuses a request takes no other. */
    private static final String RETRY_AFTER = "Retry-After";

    /** Longer delays count as this one, so that points in time can be computed from them. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofDays(365);

    private static final double NANOS_PER_SECOND = 1e9;

    /** Version of the weights that produced the response. */
    private static final String WEIGHT_VERSION = "X-Weight-Versions";

    /** Headers that are not forwarded: hop-by-hop headers and those set for each message. */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private static final Pattern DECIMAL =
            Pattern.compile(" *([0-9]{1,20}([.][0-9]{0,30})?|[.][0-9]{1,30})(e[+-]?[0-9]{1,2})? *");

    /** Blanks that do not belong to the value of a header. */
    private static final Pattern SURROUNDING_BLANKS = Pattern.compile("^[ \\t]+|[ \\t]+$");

    /** Three whole numbers, whatever follows behind a comma. */
    private static final Pattern LOAD_FORMAT =
            Pattern.compile(" *[0-9]{1,9} *, *[0-9]{1,9} *, *[0-9]{1,9} *(,.*)?");

    /** Figures that every load report has. */
    private static final int LOAD_FIGURES = 3;

    /** Slower paces, in percent of the usual time, do not count. */
    private static final int MAX_PACE = 10_000;

    private static final Pattern PROMPT_PART = Pattern.compile("([0-9A-Fa-f]{1,64}):[0-9]{1,9}");

    private HeaderCodec() {}

    /**
     * Decodes the metadata of a request. Values that are not valid numbers count as absent.
     *
     * @param headers headers of the request
     * @return metadata stated by the caller
     */
    public static RequestMetadata requestMetadata(HttpHeaders headers) {
        int[] tokens = parseNumbers(headers.get(TOKENS));
        return new RequestMetadata(
                requestId(headers),
                Optional.ofNullable(headers.get(API_KEY)).map(HeaderCodec::fromUtf8Value),
                millis(headers.get(REMAINING_MILLIS)),
                Optional.ofNullable(headers.get(MODEL)),
                tokens.length > 0 ? tokens[0] : 0,
                tokens.length > 1 ? tokens[1] : 0,
                Optional.ofNullable(headers.get(LAST_EVENT_ID)),
                sharedPromptParts(headers.getAll(PROMPT_PARTS)));
    }

    /**
     * Decodes the id of a request.
     *
     * @param headers headers of the request
     * @return id that the caller gave it, empty if it gave none
     */
    public static String requestId(HttpHeaders headers) {
        return headers.get(REQUEST_ID, "");
    }

    /**
     * Decodes the metadata of a response. Values that are not valid numbers count as absent.
     *
     * @param headers headers of the response
     * @return metadata stated by the upstream
     */
    public static ResponseMetadata responseMetadata(HttpHeaders headers) {
        int[] version = parseNumbers(headers.get(WEIGHT_VERSION));
        return new ResponseMetadata(
                singleValue(headers.getAll(REQUEST_ID)),
                headers.contains(NOT_EXECUTED),
                !headers.get(SERVER_STAMP, "").isBlank(),
                load(headers.get(LOAD)),
                decimal(headers.get(LIMIT)),
                headers.contains(LEAVING, YES, false),
                retryAfter(headers.get(RETRY_AFTER)),
                version.length == 1 ? OptionalInt.of(version[0]) : OptionalInt.empty(),
                keepAliveSeconds(headers.get("Keep-Alive")));
    }

    /**
     * Copies the headers of a request for an upstream and sets those that the entry decides.
     *
     * @param from headers sent by the caller
     * @param to headers of the request to the upstream
     * @param parameters parameters of this attempt
     */
    public static void copyToUpstream(
            HttpHeaders from, HttpHeaders to, AttemptParameters parameters) {
        copyEndToEnd(from, to);
        to.remove(API_KEY).remove(TEAM).remove(EXPECTED_SERVER).remove(EXPECTED_VERSION);
        to.remove(PRIORITY);
        to.set(REMAINING_MILLIS, parameters.remainingMillis());
        to.set(EXPECTED_SERVER, parameters.upstream().value());
        parameters.team().ifPresent(t -> to.set(TEAM, utf8Value(t.value())));
        parameters.weightVersion().ifPresent(v -> to.set(EXPECTED_VERSION, v));
        parameters.priority().ifPresent(p -> to.set(PRIORITY, p));
        parameters.lastEventId().ifPresent(e -> to.set(LAST_EVENT_ID, e));
    }

    /**
     * Copies the headers of a response for a caller.
     *
     * @param from headers sent by the upstream
     * @param to headers of the response to the caller
     */
    public static void copyToCaller(HttpHeaders from, HttpHeaders to) {
        copyEndToEnd(from, to);
    }

    /**
     * Sets the request id on a response that papayawalk itself produces.
     *
     * @param to headers of the response
     * @param requestId id of the request, may be empty
     */
    public static void setRequestId(HttpHeaders to, String requestId) {
        if (!requestId.isEmpty()) {
            to.set(REQUEST_ID, requestId);
        }
    }

    private static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        String connectionOptions = String.join(",", from.getAll(HttpHeaderNames.CONNECTION));
        Set<String> dropped = new HashSet<>();
        Collections.addAll(dropped, connectionOptions.toLowerCase(Locale.ROOT).split("[ ,]+"));
        for (Map.Entry<String, String> h : from) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !dropped.contains(name)) {
                to.add(h.getKey(), h.getValue());
            }
        }
    }

    // Decodes all parts but the last. Lines of the same header continue each other; entries that
    // are
    // empty do not count, and those that are malformed are left out.
    private static List<PromptPartId> sharedPromptParts(List<String> lines) {
        List<String> entries =
                lines.stream()
                        .flatMap(l -> Arrays.stream(l.split(",")))
                        .map(String::strip)
                        .filter(e -> !e.isEmpty())
                        .toList();
        Set<PromptPartId> parts = new LinkedHashSet<>();
        for (String entry : entries.subList(0, Math.max(0, entries.size() - 1))) {
            Matcher matcher = PROMPT_PART.matcher(entry);
            if (matcher.matches() && parts.size() < MAX_PROMPT_PARTS) {
                parts.add(new PromptPartId(matcher.group(1)));
            }
        }
        return List.copyOf(parts);
    }

    // Returns the text whose bytes in UTF-8 are those of a header value, one for each character.
    private static String fromUtf8Value(String value) {
        return new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    // Returns a header value whose bytes on the wire, one for each character, are the text in
    // UTF-8.
    private static String utf8Value(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return SURROUNDING_BLANKS
                .matcher(new String(bytes, StandardCharsets.ISO_8859_1))
                .replaceAll("");
    }

    // Returns the value on which all lines of a header agree.
    private static Optional<String> singleValue(List<String> lines) {
        return lines.stream().distinct().count() == 1
                ? Optional.of(lines.get(0))
                : Optional.empty();
    }

    // Decodes a load report; the header may be null. A report with further figures is one of a
    // server that says more than is known here.
    private static Optional<ReportedLoad> load(String text) {
        if (text == null || !LOAD_FORMAT.matcher(text).matches()) {
            return Optional.empty();
        }
        String[] figures = text.split(",");
        int[] load = new int[LOAD_FIGURES];
        for (int i = 0; i < LOAD_FIGURES; i++) {
            load[i] = Integer.parseInt(figures[i].strip());
        }
        OptionalDouble pace =
                figures.length > LOAD_FIGURES
                        ? decimal(figures[LOAD_FIGURES])
                        : OptionalDouble.empty();
        int percent =
                pace.isPresent() && pace.getAsDouble() >= 1 && pace.getAsDouble() <= MAX_PACE
                        ? (int) Math.round(pace.getAsDouble())
                        : ReportedLoad.USUAL_PACE_PERCENT;
        return Optional.of(new ReportedLoad(load[0], load[1], load[2], percent));
    }

    private static OptionalLong millis(String text) {
        int[] numbers = parseNumbers(text);
        return numbers.length == 1 ? OptionalLong.of(numbers[0]) : OptionalLong.empty();
    }

    // Decodes a decimal number that is not negative; the header may be null.
    private static OptionalDouble decimal(String text) {
        return text != null && DECIMAL.matcher(text).matches()
                ? OptionalDouble.of(Double.parseDouble(text.strip()))
                : OptionalDouble.empty();
    }

    // Decodes a delay and rounds it up; the header may be null.
    private static Optional<Duration> retryAfter(String text) {
        OptionalDouble seconds = decimal(text);
        if (seconds.isEmpty()) {
            return Optional.empty();
        }
        double bounded = Math.min(seconds.getAsDouble(), MAX_RETRY_AFTER.toSeconds());
        return Optional.of(Duration.ofNanos((long) Math.ceil(bounded * NANOS_PER_SECOND)));
    }

    // Decodes the seconds for which a server keeps an idle connection open; the header may be null.
    private static OptionalInt keepAliveSeconds(String text) {
        if (text == null) {
            return OptionalInt.empty();
        }
        for (String part : text.split(",")) {
            int[] seconds = parseNumbers(part.strip().replaceFirst("^timeout=", ""));
            if (seconds.length == 1) {
                return OptionalInt.of(seconds[0]);
            }
        }
        return OptionalInt.empty();
    }

    // Decodes a comma-separated list; empty unless all parts are integers from 0 to 999,999,999.
    private static int[] parseNumbers(String text) {
        if (text == null || !text.matches(" *[0-9]{1,9}( *, *[0-9]{1,9})* *")) {
            return new int[0];
        }
        String[] parts = text.split(",");
        int[] numbers = new int[parts.length];
        for (int i = 0; i < parts.length; i++) {
            numbers[i] = Integer.parseInt(parts[i].strip());
        }
        return numbers;
    }
}
