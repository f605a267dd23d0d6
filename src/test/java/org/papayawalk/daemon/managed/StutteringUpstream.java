package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import org.papayawalk.support.Threads;

/**
 * Fake server that keeps its connections and sends answers a second time, whole or cut. It records
 * what it answered before it sends the first byte. Thread-safe.
 */
public final class StutteringUpstream implements AutoCloseable {
    private static final int BACKLOG = 64;

    private final ServerSocket listener;

    private final String name;

    private final BiFunction<String, String, Stutter> plan;

    private final List<StutterRun> runs = new CopyOnWriteArrayList<>();

    private final AtomicInteger runCount = new AtomicInteger();

    /**
     * Starts a server on a free port.
     *
     * @param name name, unlike that of any other server
     * @param plan chooses the answer from the caller's name for its sending of the request and the
     *     stamp of the answer; called by several threads
     * @throws IOException if no port is free
     */
    public StutteringUpstream(String name, BiFunction<String, String, Stutter> plan)
            throws IOException {
        this.name = name;
        this.plan = plan;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        Threads.start("stuttering-upstream", this::accept);
    }

    /**
     * Returns the address of the server.
     *
     * @return IP number and port
     */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Returns what the server answered so far.
     *
     * @return runs in the order of their start; may be cleared
     */
    public List<StutterRun> runs() {
        return runs;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    // Chooses and records the answer to a request.
    private StutterConnection.Reply answer(FakeUpstream.Seen request, int earlier) {
        String attempt = request.headers().getOrDefault("attempt", "");
        String stamp = name + "." + runCount.incrementAndGet();
        Stutter stutter = plan.apply(attempt, stamp);
        StutterAnswer answer = StutterAnswer.to(request, stutter, stamp, earlier);
        runs.add(answer.run());
        return new StutterConnection.Reply(stutter, answer);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                StutterConnection connection = new StutterConnection(socket, this::answer);
                Threads.start("stuttering-upstream", connection::serve);
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }
}
