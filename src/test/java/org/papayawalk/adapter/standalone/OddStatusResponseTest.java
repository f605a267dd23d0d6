package org.papayawalk.adapter.standalone;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.papayawalk.core.Fault;
import org.papayawalk.support.AnswerServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Servers answer the blocking client with a status that HTTP does not have. */
public final class OddStatusResponseTest {
    private AnswerServer server;

    /**
     * Starts the server.
     *
     * @throws IOException if no port is free
     */
    @BeforeMethod
    public void start() throws IOException {
        server = new AnswerServer();
    }

    /**
     * Stops the server.
     *
     * @throws IOException if it cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        server.close();
    }

    /**
     * Returns texts in the place of a status.
     *
     * @return rows of a text and whether it is a status
     */
    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {
            {"200", true},
            {"503", true},
            {"000", false},
            {"99", false},
            {"600", false},
            {"0200", false},
            {"2000", false},
        };
    }

    /**
     * An answer without a status of HTTP is a failure.
     *
     * @param status text in the place of the status
     * @param valid whether it is a status
     */
    @Test(dataProvider = "statuses")
    public void onlyStatusesOfHttpAreAnswers(String status, boolean valid) {
        String answer = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 3\r\n\r\nodd";
        server.answer(answer.getBytes(StandardCharsets.ISO_8859_1), false);
        try (BlockingHttpClient client = new BlockingHttpClient(Duration.ofSeconds(5), 1)) {
            Either<Fault, ClientResponse> result =
                    client.execute(ClientRequest.get("read", server.address(), "/"));
            assertEquals(result.isRight(), valid, result.toString());
        }
    }
}
