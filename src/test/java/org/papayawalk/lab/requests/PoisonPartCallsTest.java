package org.papayawalk.lab.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.ClientRequest;
import org.papayawalk.adapter.standalone.ClientResponse;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.Fault;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.EngineStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Checks on real daemons that a message that crashes each engine that begins to answer a chat with
 * it is refused, although no two requests are alike, and that chats without it are served. Two
 * entries and six agents use the loopback interface.
 */
public final class PoisonPartCallsTest {
    private static final int SOUND_BEFORE = 8;

    private static final int ROUNDS = 16;

    /** Four crashes of a part that was never answered, and one before their notice arrives. */
    private static final int MAX_CRASHES = 5;

    private static final long FIRST_RETRY_MILLIS = 20_000;

    private static final Object SYSTEM = message("system", "You help the customers of the shop.");

    private static final Object SHARED = message("user", "These are the goods of this week.");

    private static final Object BAD = message("user", EngineStandIn.POISON_PART);

    private RequestsCluster cluster;

    private BlockingHttpClient http;

    /**
     * Starts the daemons and the stand-ins.
     *
     * @throws IOException if a server cannot listen on its address
     * @throws InterruptedException if the thread is interrupted
     */
    @BeforeClass
    public void start() throws IOException, InterruptedException {
        cluster = new RequestsCluster(6, 1, new EngineSettings(1, 1, 32, false), 8, 5);
        http = BlockingHttpClient.keepingConnections(Duration.ofSeconds(30), 64);
    }

    /** Stops the daemons and the stand-ins. */
    @AfterClass(alwaysRun = true)
    public void stop() {
        http.close();
        cluster.close();
    }

    /** Both entries refuse the bad message after a few crashes, and serve all other chats. */
    @Test
    public void refusesBadMessageAndServesOthers() {
        for (int i = 0; i < SOUND_BEFORE; i++) {
            assertAnswered(i, "before-" + i);
        }
        int crashesBefore = crashes();
        List<Either<Fault, ClientResponse>> bad = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            bad.add(chat(i, List.of(SYSTEM, SHARED, BAD, message("user", "bad-" + i))));
            assertAnswered(i + 1, "beside-" + i);
        }
        int crashes = crashes() - crashesBefore;
        assertTrue(crashes <= MAX_CRASHES, crashes + " engines crashed");
        bad.subList(ROUNDS / 2, ROUNDS).forEach(PoisonPartCallsTest::assertRefused);
    }

    private int crashes() {
        return cluster.modelAgents().stream()
                .mapToInt(a -> RequestsCluster.engineOf(a).crashes())
                .sum();
    }

    private static boolean isAnswered(Either<Fault, ClientResponse> reply) {
        return reply.isRight()
                && reply.get().status() == 200
                && reply.get().text().contains("[DONE]");
    }

    private static long retryMillis(Either<Fault, ClientResponse> reply) {
        return reply.toJavaOptional()
                .flatMap(r -> r.header(CallerHeaders.RETRY_AFTER_MILLIS))
                .map(Long::parseLong)
                .orElse(0L);
    }

    private void assertAnswered(int entry, String last) {
        Either<Fault, ClientResponse> reply =
                chat(entry, List.of(SYSTEM, SHARED, message("user", last)));
        assertTrue(isAnswered(reply), last + ": " + reply);
    }

    private static void assertRefused(Either<Fault, ClientResponse> reply) {
        assertTrue(reply.isRight(), String.valueOf(reply));
        String text = reply.get().text();
        assertEquals(reply.get().status(), 503, text);
        assertEquals(reply.get().header(CallerHeaders.OUTCOME).orElse(""), "not-run", text);
        long retryMillis = retryMillis(reply);
        assertTrue(retryMillis > 0 && retryMillis <= FIRST_RETRY_MILLIS, retryMillis + " ms");
    }

    private Either<Fault, ClientResponse> chat(int entry, List<Object> messages) {
        byte[] body =
                Json.write(
                        Map.of(
                                "model",
                                RequestsCluster.MODEL_FLEET,
                                "stream",
                                true,
                                "messages",
                                messages));
        String address = cluster.entries().get(entry % 2).address();
        List<HttpHeader> headers =
                List.of(
                        new HttpHeader("Content-Type", "application/json"),
                        new HttpHeader(CallerHeaders.TEAM, "shop"));
        return http.execute(
                new ClientRequest(
                        "caller", address, "POST", "/v1/chat/completions", headers, body));
    }

    private static Object message(String role, String content) {
        return Map.of("role", role, "content", content);
    }
}
