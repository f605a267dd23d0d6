package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Answers of a fake server that keeps its connection for further requests. Each answer is a text in
 * which {id} stands for the id of its request, {before} for that of the request before on the
 * connection and {headers} for the lines of further headers. Thread-safe.
 */
public final class KeptConnectionScript implements Script {
    private final List<String> answers;

    private final List<String> ids;

    /**
     * Creates a script.
     *
     * @param answers answers to the requests of a connection in turn; the last one is repeated
     * @param ids receives the id of each request; thread-safe
     */
    public KeptConnectionScript(List<String> answers, List<String> ids) {
        this.answers = List.copyOf(answers);
        this.ids = ids;
    }

    @Override
    public void play(Socket socket, String id, String headers) throws IOException {
        String before = "none";
        String present = id;
        for (int i = 0; true; i++) {
            String answer = answers.get(Math.min(i, answers.size() - 1));
            ids.add(present);
            String ownHeaders = headers.replace(": " + id + "\r\n", ": " + present + "\r\n");
            String text =
                    answer.replace("{headers}", ownHeaders)
                            .replace("{id}", present)
                            .replace("{before}", before);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            FakeUpstream.Seen next = RequestReader.read(socket.getInputStream());
            if (next == null) {
                return;
            }
            before = present;
            present = next.headers().getOrDefault("x-request-id", "");
        }
    }
}
