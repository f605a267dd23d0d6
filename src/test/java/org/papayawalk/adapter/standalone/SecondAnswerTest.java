package org.papayawalk.adapter.standalone;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.port.TableWrite;
import org.papayawalk.support.StutteringServer;
import org.papayawalk.support.StutteringServer.Again;
import org.papayawalk.support.StutteringServer.Script;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against the answer to an earlier call that passes for that to the next one. */
public final class SecondAnswerTest {
    private static final Duration READ_TIMEOUT = Duration.ofMillis(500);

    private static final String SUCCESS = answer("200 OK", "{\"gold\":1}");

    private static final String REFUSAL = answer("503 Service Unavailable", "busy");

    private static final String FAILURE = answer("500 Internal Server Error", "no gold leaf");

    private StutteringServer server;

    /**
     * Starts the server.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        server = new StutteringServer(Script.of(SUCCESS, 0, Again.AT_ONCE, FAILURE));
    }

    /**
     * Stops the server.
     *
     * @throws IOException if it cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        server.close();
    }

    /**
     * First answers, next answers and the time of the second copy of the first.
     *
     * @return first, next, status of the next, time
     */
    @DataProvider
    public Object[][] answers() {
        List<Object[]> cases = new ArrayList<>();
        for (Again again : Again.values()) {
            cases.add(new Object[] {SUCCESS, FAILURE, "500 no gold leaf", again});
            cases.add(new Object[] {FAILURE, SUCCESS, "200 {\"gold\":1}", again});
            cases.add(new Object[] {REFUSAL, SUCCESS, "200 {\"gold\":1}", again});
        }
        return cases.toArray(Object[][]::new);
    }

    /**
     * The next call of a client as the daemons use it gets its own answer.
     *
     * @param first answer that is sent twice
     * @param next answer to the next call
     * @param expected its status and body
     * @param again when the first is sent again
     */
    @Test(dataProvider = "answers")
    public void secondAnswerIsNotReadAsThatOfTheNextCall(
            String first, String next, String expected, Again again) {
        List<String> wrong = new ArrayList<>();
        for (int length = 1; length <= first.length(); length++) {
            server.play(Script.of(first, length, again, next));
            try (BlockingHttpClient client = new BlockingHttpClient(READ_TIMEOUT, 4)) {
                post(client);
                server.stutter();
                String got = post(client);
                if (!got.equals(expected)) {
                    wrong.add(length + ": " + got);
                }
            }
        }
        assertEquals(wrong, List.of());
    }

    /** A connection that is kept is not used again if bytes came behind its last answer. */
    @Test
    public void keptConnectionWithBytesBehindItsAnswerGetsNoFurtherCall() {
        List<String> wrong = new ArrayList<>();
        for (Again again : List.of(Again.AT_ONCE, Again.WHILE_IDLE)) {
            for (int length = 1; length <= SUCCESS.length(); length++) {
                server.play(Script.of(SUCCESS, length, again, FAILURE));
                String got = postTwiceOnKeptConnections();
                if (!got.equals("500 no gold leaf") || server.connections() != 2) {
                    wrong.add(again + " " + length + ": " + got);
                }
            }
        }
        assertEquals(wrong, List.of());
    }

    /** A connection without such bytes is used again. */
    @Test
    public void keptConnectionGetsNextCall() {
        server.play(Script.of(SUCCESS, 0, Again.WHILE_IDLE, FAILURE));
        assertEquals(postTwiceOnKeptConnections(), "500 no gold leaf");
        assertEquals(server.connections(), 1);
    }

    /**
     * An answer that is cut inside its head and followed by another one is not read as one answer.
     *
     * @param headers headers of the first answer
     */
    @Test(dataProvider = "headers")
    public void failureBehindCutHeadIsNotReadAsSuccess(String headers) {
        String head = "HTTP/1.1 200 OK\r\n" + headers + "\r\n";
        List<String> wrong = new ArrayList<>();
        for (int length = 1; length < head.length(); length++) {
            server.play(Script.of(head.substring(0, length) + FAILURE, 0, Again.AT_ONCE, FAILURE));
            try (BlockingHttpClient client = new BlockingHttpClient(READ_TIMEOUT, 4)) {
                String got = post(client);
                if (!got.startsWith("fault ")) {
                    wrong.add(length + ": " + got);
                }
            }
        }
        assertEquals(wrong, List.of());
    }

    /**
     * Headers of an answer.
     *
     * @return lines
     */
    @DataProvider
    public Object[][] headers() {
        return new Object[][] {
            {"Content-Length: 12\r\nX-Leaf: gold\r\n"},
            {"X-Leaf: gold\r\nContent-Length: 12\r\n"},
            {"X-Leaf: gold\r\nTransfer-Encoding: chunked\r\n"},
        };
    }

    /**
     * A write that the table refused is not taken for written because an earlier one was.
     *
     * @param again when the answer to the earlier write is sent again
     */
    @Test(dataProvider = "times")
    public void secondAnswerToEarlierWriteIsNotReadAsThatOfThisWrite(Again again) {
        String written = answer("200 OK", "41");
        server.play(Script.of(written, written.length(), again, answer("409 Conflict", "")));
        try (BlockingHttpClient client = new BlockingHttpClient(READ_TIMEOUT, 4)) {
            HttpTableService table = new HttpTableService(client, server.address());
            List<TableWrite> writes = List.of(new TableWrite("t", "k", 1, new byte[0]));
            assertEquals(table.commit(writes).get(), Long.valueOf(41));
            server.stutter();
            Either<Fault, Long> second = table.commit(writes);
            assertEquals(second.mapLeft(Fault::kind), Either.left(FaultKind.CONFLICT));
        }
    }

    /**
     * Times of the second copy.
     *
     * @return times
     */
    @DataProvider
    public Object[][] times() {
        return new Object[][] {{Again.AT_ONCE}, {Again.WHILE_IDLE}, {Again.AFTER_NEXT_REQUEST}};
    }

    private String postTwiceOnKeptConnections() {
        try (BlockingHttpClient client = BlockingHttpClient.keepingConnections(READ_TIMEOUT, 4)) {
            post(client);
            server.stutter();
            return post(client);
        }
    }

    private String post(BlockingHttpClient client) {
        return client.execute(ClientRequest.post("test", server.address(), "/v1/orders", "leaf"))
                .fold(f -> "fault " + f.message(), r -> r.status() + " " + r.text());
    }

    private static String answer(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
