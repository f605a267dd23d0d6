package org.papayawalk.lab.requests;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.ClientRequest;
import org.papayawalk.adapter.standalone.ClientResponse;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.adapter.standalone.StreamingResponse;
import org.papayawalk.core.Fault;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.id.Digest;
import org.papayawalk.lab.SseText;
import org.papayawalk.lab.standin.EngineText;

/** Makes calls as a caller would and checks the answers byte by byte. Thread-safe. */
public final class TestCaller implements AutoCloseable {
    /** Longest silence of an entry. */
    private static final Duration SILENCE = Duration.ofSeconds(30);

    /** Start of a data line. */
    private static final String DATA = "data: ";

    /** Sends the requests. */
    private final BlockingHttpClient http = new BlockingHttpClient(SILENCE, 4096, true);

    /**
     * Makes a streamed call to a model.
     *
     * @param address address of an entry, or of an engine
     * @param model model
     * @param version version that may answer
     * @param team team
     * @param content text of the message
     * @param tokens tokens to generate
     * @param startNanos moment from which times count
     * @return what the caller saw
     */
    public CallResult stream(
            String address,
            String model,
            Digest version,
            String team,
            String content,
            int tokens,
            long startNanos) {
        Map<String, Object> body = new HashMap<>();
        body.put("model", model);
        body.put("stream", true);
        body.put("max_tokens", tokens);
        body.put("messages", List.of(Map.of("role", "user", "content", content)));
        List<HttpHeader> headers =
                List.of(
                        new HttpHeader("Content-Type", "application/json"),
                        new HttpHeader(CallerHeaders.TEAM, team));
        byte[] data = Json.write(body);
        ClientRequest call =
                new ClientRequest("caller", address, "POST", "/v1/chat/completions", headers, data);
        Either<Fault, StreamingResponse> opened = http.executeStreaming(call);
        if (opened.isLeft()) {
            String detail = opened.getLeft().toString();
            return CallResult.without(CallResult.Kind.UNKNOWN, 0, detail);
        }
        try (StreamingResponse stream = opened.get()) {
            if (stream.status() != 200) {
                return refused(stream);
            }
            Map<String, Object> sent = Json.read(data, new TypeReference<>() {});
            String prompt = String.valueOf(sent.get("messages"));
            return read(stream, EngineText.text(version, prompt, tokens), startNanos);
        } catch (IOException e) {
            return CallResult.without(CallResult.Kind.UNKNOWN, 0, e.toString());
        }
    }

    /**
     * Places an order.
     *
     * @param address address of an entry
     * @param service service
     * @param key idempotency key
     * @param item what to order
     * @return what the caller saw
     */
    public CallResult order(String address, String service, String key, String item) {
        return order(address, service, key, item, 10_000);
    }

    /**
     * Places an order.
     *
     * @param address address of an entry
     * @param service service
     * @param key idempotency key
     * @param item what to order
     * @param deadlineMillis how long the caller waits
     * @return what the caller saw
     */
    public CallResult order(
            String address, String service, String key, String item, long deadlineMillis) {
        List<HttpHeader> headers =
                List.of(
                        new HttpHeader("Content-Type", "application/json"),
                        new HttpHeader(CallerHeaders.DEADLINE, Long.toString(deadlineMillis)),
                        new HttpHeader(CallerHeaders.IDEMPOTENCY_KEY, key));
        String path = "/v1/services/" + service + "/orders";
        byte[] data = Json.write(Map.of("item", item));
        Either<Fault, ClientResponse> reply =
                http.execute(new ClientRequest("caller", address, "POST", path, headers, data));
        if (reply.isLeft()) {
            String detail = reply.getLeft().toString();
            return CallResult.without(CallResult.Kind.UNKNOWN, 0, detail);
        }
        return whole(reply.get());
    }

    /**
     * Looks up the outcome of an order.
     *
     * @param address address of an entry
     * @param key idempotency key
     * @return what the caller saw
     */
    public CallResult outcome(String address, String key) {
        Either<Fault, ClientResponse> reply =
                http.execute(ClientRequest.get("caller", address, "/v1/outcomes/" + key));
        return reply.isLeft()
                ? CallResult.without(CallResult.Kind.UNKNOWN, 0, reply.getLeft().toString())
                : whole(reply.get());
    }

    @Override
    public void close() {
        http.close();
    }

    /**
     * Reads the result of a whole answer.
     *
     * @param reply answer
     * @return what the caller saw
     */
    private static CallResult whole(ClientResponse reply) {
        String outcome = reply.header(CallerHeaders.OUTCOME).orElse("");
        long retry = reply.header(CallerHeaders.RETRY_AFTER_MILLIS).map(Long::parseLong).orElse(0L);
        String detail = reply.status() + " " + reply.text();
        if (reply.isSuccess()) {
            boolean wrong = !reply.text().contains("\"order\"");
            return new CallResult(CallResult.Kind.ANSWERED, wrong, 0, -1, List.of(), reply.text());
        }
        return CallResult.without(kind(outcome), retry, detail);
    }

    /**
     * Reads a refusal.
     *
     * @param stream answer
     * @return what the caller saw
     * @throws IOException if the connection was lost
     */
    private static CallResult refused(StreamingResponse stream) throws IOException {
        String outcome = header(stream, CallerHeaders.OUTCOME);
        String retry = header(stream, CallerHeaders.RETRY_AFTER_MILLIS);
        String text = new String(stream.body().readAllBytes(), StandardCharsets.UTF_8);
        long retryMillis = retry.isEmpty() ? 0 : Long.parseLong(retry);
        return CallResult.without(kind(outcome), retryMillis, stream.status() + " " + text);
    }

    /**
     * Reads a stream to its end.
     *
     * @param stream answer
     * @param expected text that it must have
     * @param startNanos moment from which times count
     * @return what the caller saw
     * @throws IOException if an event is malformed
     */
    private static CallResult read(StreamingResponse stream, String expected, long startNanos)
            throws IOException {
        StringBuilder body = new StringBuilder();
        List<Long> gaps = new ArrayList<>();
        long first = -1;
        long last = 0;
        boolean done = false;
        boolean error = false;
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(stream.body(), StandardCharsets.UTF_8))) {
            String line = lines.readLine();
            while (line != null) {
                if (line.startsWith(DATA)) {
                    long now = System.nanoTime();
                    if (first < 0) {
                        first = (now - startNanos) / 1000;
                    } else {
                        gaps.add((now - last) / 1000);
                    }
                    last = now;
                }
                error |= line.startsWith("event: error");
                done |= line.equals(DATA + "[DONE]");
                body.append(line).append('\n');
                line = lines.readLine();
            }
        } catch (IOException e) {
            return CallResult.without(CallResult.Kind.UNKNOWN, 0, "broken off: " + e);
        }
        if (error || !done) {
            boolean silent = !error;
            return new CallResult(
                    CallResult.Kind.UNKNOWN, silent, 0, first, gaps, "not whole, said: " + error);
        }
        boolean wrong = !SseText.joinTokens(body.toString()).equals(expected);
        return new CallResult(CallResult.Kind.ANSWERED, wrong, 0, first, gaps, "");
    }

    /**
     * Returns a header.
     *
     * @param stream answer
     * @param name name of the header
     * @return value, empty if there is none
     */
    private static String header(StreamingResponse stream, String name) {
        return stream.headers().stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst()
                .orElse("");
    }

    /**
     * Reads an outcome.
     *
     * @param label label in the header
     * @return outcome as a caller understands it
     */
    private static CallResult.Kind kind(String label) {
        return switch (label) {
            case "answered" -> CallResult.Kind.ANSWERED;
            case "not-run" -> CallResult.Kind.NOT_RUN;
            default -> CallResult.Kind.UNKNOWN;
        };
    }
}
