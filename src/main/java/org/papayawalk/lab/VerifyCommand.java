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

/** Sends requests through the entries and checks every byte of the answers. */
@Parameters(commandDescription = "Check streamed requests and an order through the entries")
final class VerifyCommand implements LabCommand {
    /** Longest silence of an entry. */
    private static final Duration SILENCE = Duration.ofSeconds(30);

    /** Tokens asked for. */
    private static final int TOKENS = 24;

    /** Entries. */
    @Parameter(names = "--entries", required = true, description = "Addresses of the entries")
    private List<String> entries = new ArrayList<>();

    /** Model. */
    @Parameter(names = "--model", required = true, description = "Model to ask")
    private String model;

    /** Digest. */
    @Parameter(names = "--digest", required = true, description = "Version that must answer")
    private String digest;

    /** Service. */
    @Parameter(names = "--service", required = true, description = "Service that takes orders")
    private String service;

    /** Upstreams of the service. */
    @Parameter(names = "--service-addresses", required = true, description = "Its upstreams")
    private List<String> serviceAddresses = new ArrayList<>();

    /** Key. */
    @Parameter(names = "--key", required = true, description = "Idempotency key of the order")
    private String key;

    /** Requests. */
    @Parameter(names = "--requests", description = "Streamed requests to send")
    private int requests = 8;

    @Override
    public String name() {
        return "verify";
    }

    @Override
    public int run() throws IOException {
        try (BlockingHttpClient http = new BlockingHttpClient(SILENCE, 16, true)) {
            for (int i = 0; i < requests; i++) {
                String fault = checkStream(http, entries.get(i % entries.size()), i);
                if (fault != null) {
                    System.err.println("verify: streamed request " + i + ": " + fault);
                    return 1;
                }
            }
            String fault = checkOrder(http);
            if (fault != null) {
                System.err.println("verify: order: " + fault);
                return 1;
            }
        }
        System.out.println("verified streamed=" + requests + " order=once");
        return 0;
    }

    /**
     * Sends a streamed request and checks its text.
     *
     * @param http sends the request
     * @param entry address of the entry
     * @param number number of the request
     * @return what is wrong, or null
     * @throws IOException if the answer cannot be read
     */
    private String checkStream(BlockingHttpClient http, String entry, int number)
            throws IOException {
        List<Map<String, String>> messages =
                List.of(Map.of("role", "user", "content", "cracked fondant " + number));
        Map<String, Object> body = new HashMap<>();
        body.put("model", model);
        body.put("stream", true);
        body.put("max_tokens", TOKENS);
        body.put("messages", messages);
        ClientRequest call = ClientRequest.post("lab-stream", entry, "/v1/chat/completions", body);
        var reply = http.execute(call);
        if (reply.isLeft()) {
            return reply.getLeft().toString();
        }
        ClientResponse answer = reply.get();
        if (answer.status() != 200) {
            return "status " + answer.status() + " " + answer.text();
        }
        String served = answer.header(CallerHeaders.MODEL_DIGEST).orElse("");
        if (!served.equals(digest)) {
            return "answered by version " + served;
        }
        Map<String, Object> sent = Json.read(Json.write(body), new TypeReference<>() {});
        String prompt = String.valueOf(sent.get("messages"));
        String expected = EngineText.text(new Digest(digest), prompt, TOKENS);
        return SseText.of(answer.text()).equals(expected) ? null : "the text is not whole";
    }

    /**
     * Sends an order twice, by two entries, and counts its runs.
     *
     * @param http sends the requests
     * @return what is wrong, or null
     * @throws IOException if an answer cannot be read
     */
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
                return reply.fold(Object::toString, r -> r.status() + " " + r.text());
            }
            answers.add(reply.get().text());
        }
        if (!answers.get(0).equals(answers.get(1))) {
            return "the repeat got another answer: " + answers;
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
        return runs == 1 ? null : "the order ran " + runs + " times";
    }
}
