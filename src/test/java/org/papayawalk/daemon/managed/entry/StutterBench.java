package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import org.papayawalk.daemon.managed.Stutter;
import org.papayawalk.daemon.managed.StutterRun;
import org.papayawalk.daemon.managed.StutteringUpstream;

/** Entry before stuttering servers. Confined to one thread. */
final class StutterBench implements AutoCloseable {
    private static final String ROW =
            """
            {"service":"desk","address":"%s","zone":"luzon-a","slots":16,"state":"ready","born":1}
            """;

    private final ManagedEntryFixture fixture = new ManagedEntryFixture();

    private final List<StutteringUpstream> servers = new ArrayList<>();

    /** Answers that are chosen for one sending of a request. */
    private final Map<String, Stutter> chosen = new ConcurrentHashMap<>();

    /**
     * Starts the entry and the servers.
     *
     * @param serverCount number of servers; with a single one, no request is repeated
     * @param plan chooses answers from the name of a sending and the stamp of the answer, unless
     *     another was chosen for the sending
     * @throws IOException if a port cannot be bound
     */
    StutterBench(int serverCount, BiFunction<String, String, Stutter> plan) throws IOException {
        if (serverCount == 1) {
            String desired = ManagedEntryFixture.desired(2, "key-1");
            String single = desired.replace("\"maxAttempts\":2", "\"maxAttempts\":1");
            fixture.store().put("op", "config", single);
        }
        for (int i = 0; i < serverCount; i++) {
            String name = "s" + i;
            StutteringUpstream server =
                    new StutteringUpstream(
                            name, (a, s) -> chosen.getOrDefault(a, plan.apply(a, s)));
            servers.add(server);
            fixture.store().put("servers", name, ROW.formatted(server.address()));
            ManagedEntryFixture.await(() -> fixture.knowsUsable(name));
        }
        leave("i-1", ManagedEntryFixture.entry(fixture.first(), "draining"));
        leave("i-2", ManagedEntryFixture.entry(fixture.second(), "draining"));
    }

    /**
     * Returns the entry.
     *
     * @return entry and its store
     */
    ManagedEntryFixture fixture() {
        return fixture;
    }

    /**
     * Chooses the answer to one sending of a request.
     *
     * @param attempt name of the sending
     * @param stutter answer
     */
    void choose(String attempt, Stutter stutter) {
        chosen.put(attempt, stutter);
    }

    /**
     * Returns and forgets what the servers answered.
     *
     * @return runs at all servers
     */
    List<StutterRun> takeRuns() {
        List<StutterRun> runs = new ArrayList<>();
        for (StutteringUpstream s : servers) {
            runs.addAll(s.runs());
            s.runs().clear();
        }
        chosen.clear();
        return runs;
    }

    @Override
    public void close() throws IOException {
        fixture.close();
        for (StutteringUpstream s : servers) {
            s.close();
        }
    }

    private void leave(String id, String row) {
        fixture.store().put("servers", id, row);
        ManagedEntryFixture.await(() -> !fixture.knowsUsable(id));
    }
}
