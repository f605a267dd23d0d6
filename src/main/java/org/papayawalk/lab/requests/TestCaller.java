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

/** Client that makes calls and compares the answers with the expected text. Thread-safe. */
public final class TestCaller implements AutoCloseable {
    // Longest wait for the next byte of a response.
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private static final String DATA_PREFIX = "data: ";

    private final BlockingHttpClient http = BlockingHttpClient.keepingConnections(TIMEOUT, 4096);

    /**
     * Makes a streamed call to a model.
     *
     * @param address address of an entry, or of an engine
     * @param model fleet of the model
     * @param version only version that may generate the answer
     * @param team team of the caller
     * @param content text of the message
     * @param tokens number of tokens to generate
     * @param startNanos start of the time to the first event, as {@link System#nanoTime}
     * @return result for the caller
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
            return CallResult.withoutAnswer(CallResult.Kind.UNKNOWN, 0, detail);
        }
        try (StreamingResponse stream = opened.get()) {
            if (stream.status() != 200) {
                return refusalResult(stream);
            }
            Map<String, Object> sent = Json.read(data, new TypeReference<>() {});
            String prompt = String.valueOf(sent.get("messages"));
            return readStream(stream, EngineText.text(version, prompt, tokens), startNanos);
        } catch (IOException e) {
            return CallResult.withoutAnswer(CallResult.Kind.UNKNOWN, 0, e.toString());
        }
    }

    /**
     * Places an order with a deadline of 10 s.
     *
     * @param address address of an entry
     * @param service fleet of the service
     * @param key idempotency key
     * @param item item to order
     * @return result for the caller
     */
    public CallResult placeOrder(String address, String service, String key, String item) {
        return placeOrder(address, service, key, item, 10_000);
    }

    /**
     * Places an order.
     *
     * @param address address of an entry
     * @param service fleet of the service
     * @param key idempotency key
     * @param item item to order
     * @param deadlineMillis deadline of the call in milliseconds from now
     * @return result for the caller
     */
    public CallResult placeOrder(
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
            return CallResult.withoutAnswer(CallResult.Kind.UNKNOWN, 0, detail);
        }
        return orderResult(reply.get());
    }

    /**
     * Looks up the stored outcome of an order.
     *
     * @param address address of an entry
     * @param key idempotency key
     * @return result for the caller
     */
    public CallResult lookUpOutcome(String address, String key) {
        Either<Fault, ClientResponse> reply =
                http.execute(ClientRequest.get("caller", address, "/v1/outcomes/" + key));
        return reply.isLeft()
                ? CallResult.withoutAnswer(CallResult.Kind.UNKNOWN, 0, reply.getLeft().toString())
                : orderResult(reply.get());
    }

    @Override
    public void close() {
        http.close();
    }

    private static CallResult orderResult(ClientResponse reply) {
        String outcome = reply.header(CallerHeaders.OUTCOME).orElse("");
        long retry = reply.header(CallerHeaders.RETRY_AFTER_MILLIS).map(Long::parseLong).orElse(0L);
        String detail = reply.status() + " " + reply.text();
        if (reply.isSuccess()) {
            boolean wrong = !reply.text().contains("\"order\"");
            return new CallResult(CallResult.Kind.ANSWERED, wrong, 0, -1, List.of(), reply.text());
        }
        return CallResult.withoutAnswer(parseOutcome(outcome), retry, detail);
    }

    private static CallResult refusalResult(StreamingResponse stream) throws IOException {
        String outcome = header(stream, CallerHeaders.OUTCOME);
        String retry = header(stream, CallerHeaders.RETRY_AFTER_MILLIS);
        String text = new String(stream.body().readAllBytes(), StandardCharsets.UTF_8);
        long retryMillis = retry.isEmpty() ? 0 : Long.parseLong(retry);
        return CallResult.withoutAnswer(
                parseOutcome(outcome), retryMillis, stream.status() + " " + text);
    }

    // A stream without its end or with an error event has an unknown outcome. Only one that ends
    // early without an error event counts as wrong, as its caller cannot notice the truncation.
    private static CallResult readStream(StreamingResponse stream, String expected, long startNanos)
            throws IOException {
        StringBuilder body = new StringBuilder();
        List<Long> gaps = new ArrayList<>();
        long firstMicros = -1;
        long lastNanos = 0;
        boolean ended = false;
        boolean errorEvent = false;
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(stream.body(), StandardCharsets.UTF_8))) {
            String line = lines.readLine();
            while (line != null) {
                if (line.startsWith(DATA_PREFIX)) {
                    long now = System.nanoTime();
                    if (firstMicros < 0) {
                        firstMicros = (now - startNanos) / 1000;
                    } else {
                        gaps.add((now - lastNanos) / 1000);
                    }
                    lastNanos = now;
                }
                errorEvent |= line.startsWith("event: error");
                ended |= line.equals(DATA_PREFIX + "[DONE]");
                body.append(line).append('\n');
                line = lines.readLine();
            }
        } catch (IOException e) {
            return CallResult.withoutAnswer(CallResult.Kind.UNKNOWN, 0, "stream failed: " + e);
        }
        if (errorEvent || !ended) {
            boolean truncatedSilently = !errorEvent;
            return new CallResult(
                    CallResult.Kind.UNKNOWN,
                    truncatedSilently,
                    0,
                    firstMicros,
                    gaps,
                    "stream incomplete, error event received: " + errorEvent);
        }
        boolean wrong = !SseText.joinTokens(body.toString()).equals(expected);
        return new CallResult(CallResult.Kind.ANSWERED, wrong, 0, firstMicros, gaps, "");
    }

    private static String header(StreamingResponse stream, String name) {
        return stream.headers().stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst()
                .orElse("");
    }

    private static CallResult.Kind parseOutcome(String label) {
        return switch (label) {
            case "answered" -> CallResult.Kind.ANSWERED;
            case "not-run" -> CallResult.Kind.NOT_RUN;
            default -> CallResult.Kind.UNKNOWN;
        };
    }
}
