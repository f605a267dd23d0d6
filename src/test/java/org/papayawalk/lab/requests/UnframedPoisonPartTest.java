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
 * Checks on real daemons that a message that crashes engines is refused although the answers have
 * neither a length nor chunks, so that a crash ends them like a whole answer. Two entries and six
 * agents use the loopback interface.
 */
public final class UnframedPoisonPartTest {
    private static final int SOUND_BEFORE = 8;

    private static final int ROUNDS = 16;

    /** Four crashes of a part that was never answered, and one before their notice arrives. */
    private static final int MAX_CRASHES = 5;

    private static final long FIRST_RETRY_MILLIS = 20_000;

    private static final Object SYSTEM = message("system", EngineStandIn.UNFRAMED);

    private static final Object SHARED = message("user", "These are the goods of this week.");

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

    /** Streams that a crash ends between two events are not answers. */
    @Test
    public void refusesMessageWhoseStreamsEndBetweenEvents() {
        refusesBadMessageAndServesOthers(true);
    }

    /** Other answers that a crash ends are no answers either. */
    @Test
    public void refusesMessageWhoseBufferedAnswersEndEarly() {
        refusesBadMessageAndServesOthers(false);
    }

    private void refusesBadMessageAndServesOthers(boolean stream) {
        Object bad = message("user", EngineStandIn.POISON_PART + stream);
        for (int i = 0; i < SOUND_BEFORE; i++) {
            assertAnswered(stream, i, "before-" + i);
        }
        int crashesBefore = crashes();
        List<Either<Fault, ClientResponse>> replies = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            Object last = message("user", "bad-" + i);
            replies.add(chat(stream, i, List.of(SYSTEM, SHARED, bad, last)));
            assertAnswered(stream, i + 1, "beside-" + i);
        }
        int crashes = crashes() - crashesBefore;
        assertTrue(crashes <= MAX_CRASHES, crashes + " engines crashed");
        replies.subList(ROUNDS / 2, ROUNDS).forEach(UnframedPoisonPartTest::assertRefused);
    }

    private int crashes() {
        return cluster.modelAgents().stream()
                .mapToInt(a -> RequestsCluster.engineOf(a).crashes())
                .sum();
    }

    private static boolean isAnswered(boolean stream, Either<Fault, ClientResponse> reply) {
        return reply.isRight()
                && reply.get().status() == 200
                && reply.get().text().endsWith(stream ? "[DONE]\n\n" : "}");
    }

    private static long retryMillis(Either<Fault, ClientResponse> reply) {
        return reply.toJavaOptional()
                .flatMap(r -> r.header(CallerHeaders.RETRY_AFTER_MILLIS))
                .map(Long::parseLong)
                .orElse(0L);
    }

    private void assertAnswered(boolean stream, int entry, String last) {
        Either<Fault, ClientResponse> reply =
                chat(stream, entry, List.of(SYSTEM, SHARED, message("user", last)));
        assertTrue(isAnswered(stream, reply), last + ": " + reply);
    }

    private static void assertRefused(Either<Fault, ClientResponse> reply) {
        assertTrue(reply.isRight(), String.valueOf(reply));
        String text = reply.get().text();
        assertEquals(reply.get().status(), 503, text);
        assertEquals(reply.get().header(CallerHeaders.OUTCOME).orElse(""), "not-run", text);
        long retryMillis = retryMillis(reply);
        assertTrue(retryMillis > 0 && retryMillis <= FIRST_RETRY_MILLIS, retryMillis + " ms");
    }

    private Either<Fault, ClientResponse> chat(boolean stream, int entry, List<Object> messages) {
        byte[] body =
                Json.write(
                        Map.of(
                                "model",
                                RequestsCluster.MODEL_FLEET,
                                "stream",
                                stream,
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
