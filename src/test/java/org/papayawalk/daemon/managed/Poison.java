package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import org.papayawalk.support.FreePort;

/** What stops a server in mode {@link FakeUpstream.Mode#DIES_OF_POISON}. Stateless. */
public final class Poison {
    /** Part of the path of a poison request. */
    public static final String PATH = "poison";

    /** Part of prompts that stops a server in the middle of its answer. */
    public static final String PROMPT_PART = "bad0bad0";

    private static final String PROMPT_PARTS_HEADER = "x-prompt-prefix";

    private Poison() {}

    /**
     * Returns whether the prompt of a request has the poison part.
     *
     * @param request request
     * @return true if it has
     */
    public static boolean inPrompt(FakeUpstream.Seen request) {
        return request.headers().getOrDefault(PROMPT_PARTS_HEADER, "").contains(PROMPT_PART);
    }

    /**
     * Answers a request, or stops the server on poison: without an answer if it is in the path, in
     * the middle of the answer if it is in the prompt.
     *
     * @param request request
     * @param out stream to the caller
     * @param answer complete answer
     * @param listener socket that the server listens on
     * @return whether the connection stays open
     * @throws IOException if the connection is lost
     */
    static boolean answer(
            FakeUpstream.Seen request, OutputStream out, String answer, ServerSocket listener)
            throws IOException {
        boolean inPath = request.line().contains(PATH);
        if (!inPath) {
            int length = inPrompt(request) ? answer.length() / 2 : answer.length();
            out.write(answer.substring(0, length).getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        if (inPath || inPrompt(request)) {
            listener.close();
            FreePort.awaitRefusal(listener.getLocalPort());
            return false;
        }
        return true;
    }
}
