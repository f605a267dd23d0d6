package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.suspect.PartVerdict;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * A caller leaves while its request is the trial of a suspected part. Guards against a crash that
 * then counts against no part.
 */
public final class AbandonedTrialTest {
    /** Crashes after which one more makes a part without answers refused. */
    private static final int CRASHES = 3;

    private static final String PART = "a0a0";

    private static final String EVENT = "id: 1\ndata: part 1\n\n";

    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * The crash of an upstream after the caller has left counts against the part.
     *
     * @throws IOException if the entry does not answer
     */
    @Test
    public void crashAfterCallerHasLeftCountsAgainstPart() throws IOException {
        List<PromptPartId> parts = List.of(new PromptPartId(PART));
        for (int i = 0; i < CRASHES; i++) {
            UpstreamProcess process = new UpstreamProcess(new UpstreamId("i-gone-" + i), 1);
            fixture.role().promptParts().recordCrash(parts, process, fixture.now());
        }
        assertEquals(verdict(parts), PartVerdict.TRIAL);
        AtomicInteger answers = new AtomicInteger(1);
        Stream.of(fixture.first(), fixture.second())
                .forEach(
                        s ->
                                s.script(
                                        (socket, id, headers) -> crashOnceLeft(s, socket, headers),
                                        answers,
                                        Mode.WHOLE));
        String prompt = "X-Prompt-Prefix: " + PART + ":5,e1:5\r\n";
        String request =
                fixture.caller()
                        .request("POST", "/advice/x", "key-1")
                        .replace("Connection: close\r\n", "Connection: close\r\n" + prompt);
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, request);
            String received = "";
            while (!received.contains("part 1")) {
                received += (char) socket.getInputStream().read();
            }
        }
        ManagedEntryFixture.await(() -> verdict(parts) == PartVerdict.REFUSED);
    }

    private PartVerdict verdict(List<PromptPartId> parts) {
        return fixture.role().promptParts().verdict(parts, fixture.now());
    }

    private static void crashOnceLeft(FakeUpstream server, Socket socket, String headers)
            throws IOException {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
        String answer = head + headers + "\r\n" + EVENT;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        socket.getInputStream().read();
        server.close();
    }
}
