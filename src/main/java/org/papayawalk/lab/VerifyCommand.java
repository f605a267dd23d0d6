package org.papayawalk.lab;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
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
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.id.Digest;
import org.papayawalk.lab.standin.EngineText;

/**
 * Sends streamed requests and an order through the entries. Checks that every streamed text is the
 * one that the requested version generates, and that the order runs exactly once.
 */
@Parameters(commandDescription = "Check streamed requests and an order sent through the entries")
final class VerifyCommand implements LabCommand {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);

    private static final int MAX_TOKENS = 24;

    @Parameter(names = "--entries", required = true, description = "Addresses of the entries")
    private List<String> entries = new ArrayList<>();

    @Parameter(names = "--model", required = true, description = "Name of the model")
    private String model;

    @Parameter(
            names = "--digest",
            required = true,
            description = "Digest of the version that must serve the requests")
    private String digest;

    @Parameter(
            names = "--service",
            required = true,
            description = "Name of the service that accepts orders")
    private String service;

    @Parameter(
            names = "--service-addresses",
            required = true,
            description = "Addresses of the upstreams of the service")
    private List<String> serviceAddresses = new ArrayList<>();

    @Parameter(names = "--key", required = true, description = "Idempotency key of the order")
    private String key;

    @Parameter(names = "--requests", description = "Number of streamed requests")
    private int requests = 8;

    @Override
    public String name() {
        return "verify";
    }

    @Override
    public int run() throws IOException {
        try (BlockingHttpClient http = BlockingHttpClient.keepingConnections(READ_TIMEOUT, 16)) {
            for (int i = 0; i < requests; i++) {
                String error = checkStream(http, entries.get(i % entries.size()), i);
                if (error != null) {
                    System.err.println("verify: streamed request " + i + ": " + error);
                    return 1;
                }
            }
            String error = checkOrder(http);
            if (error != null) {
                System.err.println("verify: order: " + error);
                return 1;
            }
        }
        System.out.println("verified streamed=" + requests + " order=once");
        return 0;
    }

    // Returns the error found, or null.
    private String checkStream(BlockingHttpClient http, String entry, int number)
            throws IOException {
        List<Map<String, String>> messages =
                List.of(Map.of("role", "user", "content", "cracked fondant " + number));
        Map<String, Object> body = new HashMap<>();
        body.put("model", model);
        body.put("stream", true);
        body.put("max_tokens", MAX_TOKENS);
        body.put("messages", messages);
        ClientRequest call = ClientRequest.post("lab-stream", entry, "/v1/chat/completions", body);
        var reply = http.execute(call);
        if (reply.isLeft()) {
            return reply.getLeft().toString();
        }
        ClientResponse answer = reply.get();
        if (answer.status() != 200) {
            return "status " + answer.status() + ", expected 200: " + answer.text();
        }
        String served = answer.header(CallerHeaders.MODEL_DIGEST).orElse("");
        if (!served.equals(digest)) {
            return "served by version \"" + served + "\", expected \"" + digest + "\"";
        }
        // The engine stand-in derives its text from the parsed messages, printed as a Java list.
        Map<String, Object> sent = Json.read(Json.write(body), new TypeReference<>() {});
        String prompt = String.valueOf(sent.get("messages"));
        String expected = EngineText.text(new Digest(digest), prompt, MAX_TOKENS);
        return SseText.joinTokens(answer.text()).equals(expected)
                ? null
                : "the text differs from the expected one";
    }

    // Sends the order twice with the same idempotency key, by two entries if there are two, and
    // counts its runs at the upstreams. Returns the error found, or null.
    private String checkOrder(BlockingHttpClient http) throws IOException {
        List<String> answers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            String entry = entries.get(i % entries.size());
            ClientRequest call =
                    new ClientRequest(
                            "lab-order",
                            entry,
                            "POST",
                            "/v1/services/" + service + "/orders",
                            List.of(
                                    new HttpHeader("Content-Type", "application/json"),
                                    new HttpHeader(CallerHeaders.IDEMPOTENCY_KEY, key)),
                            Json.write(Map.of("item", "gold leaf")));
            var reply = http.execute(call);
            if (reply.isLeft() || !reply.get().isSuccess()) {
                return reply.fold(Object::toString, r -> "status " + r.status() + ": " + r.text());
            }
            answers.add(reply.get().text());
        }
        if (!answers.get(0).equals(answers.get(1))) {
            return "the retry got a different response: " + answers;
        }
        int runs = 0;
        for (String address : serviceAddresses) {
            var reply = http.execute(ClientRequest.get("lab-counters", address, "/lab/counters"));
            if (reply.isRight()) {
                Map<String, Map<String, Integer>> counters =
                        Json.read(reply.get().body(), new TypeReference<>() {});
                runs += counters.get("runs").getOrDefault(key, 0);
            }
        }
        return runs == 1 ? null : "the order ran " + runs + " times, expected once";
    }
}
