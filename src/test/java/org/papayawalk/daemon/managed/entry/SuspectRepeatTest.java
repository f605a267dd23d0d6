package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.daemon.managed.AnswerScript;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Poison;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * An upstream is lost while it answers a request whose prompt has parts. Guards against a repeat
 * that goes out before it is known that the upstream has crashed.
 */
public final class SuspectRepeatTest {
    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
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
     * A request is not repeated after the crash that makes its part suspected.
     *
     * @throws IOException if the entry does not listen
     */
    @Test
    public void crashThatMakesPartSuspectedIsNotFollowedByRepeat() throws IOException {
        fixture.role()
                .promptParts()
                .recordCrash(
                        List.of(new PromptPartId(Poison.PROMPT_PART)),
                        new UpstreamProcess(new UpstreamId("i-gone"), 1),
                        fixture.now());
        servers().forEach(s -> s.mode(Mode.DIES_OF_POISON));
        send("/advice/x", Poison.PROMPT_PART);
        assertEquals(seenCount(), 1);
    }

    /**
     * A request is repeated after an upstream that lives has cut off its answer.
     *
     * @throws IOException if the entry does not listen
     */
    @Test
    public void cutOfLivingUpstreamIsFollowedByRepeat() throws IOException {
        AnswerScript cut =
                new AnswerScript(
                        AnswerScript.Framing.LENGTH,
                        "text/plain",
                        "whole",
                        2,
                        AnswerScript.End.CLOSE);
        AtomicInteger cuts = new AtomicInteger(1);
        servers().forEach(s -> s.script(cut, cuts, Mode.WHOLE));
        assertEquals(send("/read/x", "50"), 200);
        assertEquals(seenCount(), 2);
    }

    private Stream<FakeUpstream> servers() {
        return Stream.of(fixture.first(), fixture.second());
    }

    private int seenCount() {
        return servers().mapToInt(s -> s.seen().size()).sum();
    }

    private int send(String target, String part) throws IOException {
        String prompt = "X-Prompt-Prefix: %s:40,e1:9\r\n".formatted(part);
        String request =
                fixture.caller()
                        .request("POST", target, "key-1")
                        .replace("Connection: close\r\n", "Connection: close\r\n" + prompt);
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, request);
            return TestCaller.read(socket).status();
        }
    }
}
