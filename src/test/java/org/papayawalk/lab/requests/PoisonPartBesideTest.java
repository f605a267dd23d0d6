package org.papayawalk.lab.requests;

import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
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
 * Checks on real daemons that chats that run at engines when a bad message crashes these are
 * served, at the latest when their callers send them again. Two entries and six agents use the
 * loopback interface.
 */
public final class PoisonPartBesideTest {
    private static final int SOUND_BEFORE = 8;

    private static final int ROUNDS = 16;

    /** Four crashes of a part that was never answered, and others while their notices arrive. */
    private static final int MAX_CRASHES = 8;

    private static final int SOUND_CALLERS = 6;

    private static final int MAX_CALLER_ATTEMPTS = 3;

    /** Longest delay that the caller of a sound chat accepts. */
    private static final long MAX_RETRY_MILLIS = 5000;

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
        cluster = new RequestsCluster(6, 1, new EngineSettings(1, 20, 32, false), 8, 5);
        http = BlockingHttpClient.keepingConnections(Duration.ofSeconds(30), 64);
    }

    /** Stops the daemons and the stand-ins. */
    @AfterClass(alwaysRun = true)
    public void stop() {
        http.close();
        cluster.close();
    }

    /**
     * Chats that run at the engines when these crash are served, at the latest when their callers
     * send them again.
     *
     * @throws Exception if a caller fails
     */
    @Test
    public void servesChatsBesideBadOnes() throws Exception {
        for (int i = 0; i < SOUND_BEFORE; i++) {
            assertAnswered(i, "before-all-" + i);
        }
        int crashesBefore = crashes();
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Future<?>> ends = new ArrayList<>();
        for (int c = 0; c < SOUND_CALLERS; c++) {
            int caller = c;
            ends.add(callers.submit(() -> sendSound(caller)));
        }
        for (int e = 0; e < 2; e++) {
            int entry = e;
            ends.add(callers.submit(() -> sendBad(entry)));
        }
        for (Future<?> end : ends) {
            end.get();
        }
        callers.shutdown();
        int crashes = crashes() - crashesBefore;
        assertTrue(crashes <= MAX_CRASHES, crashes + " engines crashed");
    }

    private Void sendSound(int caller) throws InterruptedException {
        for (int i = 0; i < ROUNDS; i++) {
            String last = "caller-" + caller + "-" + i;
            List<Object> messages = List.of(SYSTEM, SHARED, message("user", last));
            Either<Fault, ClientResponse> reply = chat(caller, messages);
            for (int a = 1; a < MAX_CALLER_ATTEMPTS && !isAnswered(reply); a++) {
                long delay = retryMillis(reply);
                assertTrue(delay <= MAX_RETRY_MILLIS, last + ": " + text(reply));
                Thread.sleep(delay);
                reply = chat(caller + a, messages);
            }
            assertTrue(isAnswered(reply), last + ": " + text(reply));
        }
        return null;
    }

    private Void sendBad(int entry) {
        for (int i = 0; i < ROUNDS; i++) {
            Object last = message("user", "bad-at-once-" + entry + "-" + i);
            assertTrue(!isAnswered(chat(entry, List.of(SYSTEM, SHARED, BAD, last))));
        }
        return null;
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

    private static String text(Either<Fault, ClientResponse> reply) {
        return reply.fold(Fault::toString, ClientResponse::text);
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
        assertTrue(isAnswered(reply), last + ": " + text(reply));
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
