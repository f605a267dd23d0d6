package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.suspect.PartVerdict;
import org.papayawalk.daemon.managed.AnswerScript;
import org.papayawalk.daemon.managed.AnswerScript.Framing;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Answers with neither a length nor chunks end with their connection. Guards against a crash that
 * counts as the end of a complete answer, which clears the part that caused it.
 */
public final class UnframedAnswerEvidenceTest {
    /** Crashes after which one more makes a part without answers refused. */
    private static final int CRASHES = 3;

    private static final String PART = "a0a0";

    private static final List<PromptPartId> PARTS = List.of(new PromptPartId(PART));

    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry, which suspects the part.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        for (int i = 0; i < CRASHES; i++) {
            UpstreamProcess process = new UpstreamProcess(new UpstreamId("i-gone-" + i), 1);
            fixture.role().promptParts().recordCrash(PARTS, process, fixture.now());
        }
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * Answers that end with their connection.
     *
     * @return path, media type and body
     */
    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"/advice/x", "text/event-stream", "id: 1\ndata: part 1\n\n"},
            {"/read/x", "text/plain", "whole"},
        };
    }

    /**
     * An upstream that crashes at the end of an event or in a body counts against the part.
     *
     * @param path path of the request
     * @param type media type of the answer
     * @param body what is sent of its body
     * @throws IOException if the entry does not answer
     */
    @Test(dataProvider = "answers")
    public void crashThatEndsUnframedAnswerCountsAgainstPart(String path, String type, String body)
            throws IOException {
        AnswerScript answer = AnswerScript.whole(Framing.NEITHER, type, body);
        servers()
                .forEach(
                        s ->
                                play(
                                        s,
                                        (socket, id, headers) -> {
                                            s.close();
                                            answer.play(socket, id, headers);
                                        }));
        send(path);
        ManagedEntryFixture.await(() -> verdict() == PartVerdict.REFUSED);
    }

    /**
     * An answer of an upstream that lives clears the part.
     *
     * @param path path of the request
     * @param type media type of the answer
     * @param body body of the answer
     * @throws IOException if the entry does not answer
     */
    @Test(dataProvider = "answers")
    public void unframedAnswerOfLivingUpstreamClearsPart(String path, String type, String body)
            throws IOException {
        servers().forEach(s -> play(s, AnswerScript.whole(Framing.NEITHER, type, body)));
        send(path);
        ManagedEntryFixture.await(() -> verdict() == PartVerdict.CLEAR);
    }

    private static void play(FakeUpstream server, Script script) {
        server.script(script, new AtomicInteger(1), Mode.WHOLE);
    }

    private PartVerdict verdict() {
        return fixture.role().promptParts().verdict(PARTS, fixture.now());
    }

    private Stream<FakeUpstream> servers() {
        return Stream.of(fixture.first(), fixture.second());
    }

    private void send(String path) throws IOException {
        String prompt = "X-Prompt-Prefix: " + PART + ":5,e1:5\r\n";
        String request =
                fixture.caller()
                        .request("POST", path, "key-1")
                        .replace("Connection: close\r\n", "Connection: close\r\n" + prompt);
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, request);
            TestCaller.read(socket);
        }
    }
}
