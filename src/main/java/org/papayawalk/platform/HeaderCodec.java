package org.papayawalk.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Collections;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.papayawalk.core.call.AttemptParameters;
import org.papayawalk.core.call.ReportedLoad;
import org.papayawalk.core.call.RequestMetadata;
import org.papayawalk.core.call.ResponseMetadata;

/** Headers of requests and answers. Holds no state; safe from any thread. */
public final class HeaderCodec {
    /** Id of one attempt of a caller. */
    private static final String REQUEST_ID = "X-Request-Id";

    /** Time that the sender waits, in milliseconds. */
    private static final String REMAINING_MILLIS = "X-Deadline-Ms";

    /** Key of the caller; never passed on. */
    private static final String API_KEY = "X-Credential";

    /** Team that holds the key; set here whatever the caller sent. */
    private static final String TEAM = "X-Tenant";

    /** Id of the server that is meant. */
    private static final String EXPECTED_SERVER = "X-Expect-Instance";

    /** Version of the weights that is meant. */
    private static final String EXPECTED_VERSION = "X-Expect-Version";

    /** Urgency for the server, 0 first. */
    private static final String PRIORITY = "X-Request-Priority";

    /** Last event that the sender has. */
    private static final String LAST_EVENT_ID = "Last-Event-Id";

    /** Model that the request is for. */
    private static final String MODEL = "X-Model";

    /** Tokens of the prompt and most tokens of the answer, separated by a comma. */
    private static final String TOKENS = "X-Token-Usage";

    /** Authentication code of the server. */
    private static final String SERVER_STAMP = "X-Server-Stamp";

    /** Says that the request did not run. */
    private static final String NOT_EXECUTED = "X-Not-Executed";

    /** Running and waiting requests and slots, separated by commas. */
    private static final String LOAD = "X-Server-Load";

    /** Version of the weights that answered. */
    private static final String WEIGHT_VERSION = "X-Weight-Versions";

    /** Headers that concern one connection only. */
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

    /** Prevents instances. */
    private HeaderCodec() {}

    /**
     * Decodes what a caller states.
     *
     * @param headers headers of the request
     * @return facts
     */
    public static RequestMetadata requestMetadata(HttpHeaders headers) {
        int[] tokens = parseNumbers(headers.get(TOKENS));
        return new RequestMetadata(
                Optional.ofNullable(headers.get(REQUEST_ID)).orElse(""),
                Optional.ofNullable(headers.get(API_KEY)),
                millis(headers.get(REMAINING_MILLIS)),
                Optional.ofNullable(headers.get(MODEL)),
                tokens.length > 0 ? tokens[0] : 0,
                tokens.length > 1 ? tokens[1] : 0,
                Optional.ofNullable(headers.get(LAST_EVENT_ID)));
    }

    /**
     * Decodes what an upstream states.
     *
     * @param headers headers of the answer
     * @return facts
     */
    public static ResponseMetadata responseMetadata(HttpHeaders headers) {
        int[] load = parseNumbers(headers.get(LOAD));
        int[] version = parseNumbers(headers.get(WEIGHT_VERSION));
        return new ResponseMetadata(
                Optional.ofNullable(headers.get(REQUEST_ID)),
                headers.contains(NOT_EXECUTED),
                headers.contains(SERVER_STAMP),
                load.length == 3
                        ? Optional.of(new ReportedLoad(load[0], load[1], load[2]))
                        : Optional.empty(),
                version.length == 1 ? OptionalInt.of(version[0]) : OptionalInt.empty(),
                keepAliveSeconds(headers.get("Keep-Alive")));
    }

    /**
     * Copies the headers of a request for an upstream and sets those that the system decides.
     *
     * @param from headers of the caller
     * @param to headers of the request to the upstream
     * @param order what the system decided
     */
    public static void copyToUpstream(HttpHeaders from, HttpHeaders to, AttemptParameters order) {
        copyEndToEnd(from, to);
        to.remove(API_KEY).remove(TEAM).remove(EXPECTED_SERVER).remove(EXPECTED_VERSION);
        to.remove(PRIORITY);
        to.set(REMAINING_MILLIS, order.timeLeftMillis());
        to.set(EXPECTED_SERVER, order.upstream().value());
        order.team().ifPresent(t -> to.set(TEAM, t.value()));
        order.weightVersion().ifPresent(v -> to.set(EXPECTED_VERSION, v));
        order.priority().ifPresent(p -> to.set(PRIORITY, p));
        order.lastEventId().ifPresent(e -> to.set(LAST_EVENT_ID, e));
    }

    /**
     * Copies the headers of an answer for a caller.
     *
     * @param from headers of the upstream
     * @param to headers of the answer to the caller
     */
    public static void copyToCaller(HttpHeaders from, HttpHeaders to) {
        copyEndToEnd(from, to);
    }

    /**
     * Marks an answer of the system's own as the answer to a request.
     *
     * @param to headers of the answer
     * @param requestId id of the request, may be empty
     */
    public static void setRequestId(HttpHeaders to, String requestId) {
        if (!requestId.isEmpty()) {
            to.set(REQUEST_ID, requestId);
        }
    }

    /**
     * Copies headers that concern more than one connection.
     *
     * @param from headers to copy
     * @param to headers to add to
     */
    private static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        String listed = String.join(",", from.getAll(HttpHeaderNames.CONNECTION));
        Set<String> dropped = new HashSet<>();
        Collections.addAll(dropped, listed.toLowerCase(Locale.ROOT).split("[ ,]+"));
        for (Map.Entry<String, String> h : from) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !dropped.contains(name)) {
                to.add(h.getKey(), h.getValue());
            }
        }
    }

    /**
     * Decodes a time that a caller waits.
     *
     * @param text milliseconds, may be null or no number
     * @return milliseconds, empty if the text gives none
     */
    private static OptionalLong millis(String text) {
        int[] numbers = parseNumbers(text);
        return numbers.length == 1 ? OptionalLong.of(numbers[0]) : OptionalLong.empty();
    }

    /**
     * Decodes the time for which a server keeps an idle connection.
     *
     * @param text value of the header, may be null
     * @return seconds, empty if none are given
     */
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

    /**
     * Decodes whole numbers separated by commas.
     *
     * @param text text, may be null
     * @return numbers, none if any part is not a number from 0 to 999,999,999
     */
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
