package org.papayawalk.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.HttpHostList;
import org.papayawalk.adapter.standalone.HttpTableService;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.port.HostList;
import org.papayawalk.core.port.TableService;
import org.papayawalk.wire.EventLoops;
import org.papayawalk.wire.PeerClient;

/** What commands use: output, platform and peers. For one command and one thread. */
final class CommandContext implements AutoCloseable {
    /** Longest silence of the platform. */
    private static final Duration SILENCE = Duration.ofSeconds(5);

    /** Connections to the platform. */
    private static final int CONNECTIONS = 8;

    /** Results. */
    private final PrintStream out;

    /** Progress and errors. */
    private final PrintStream err;

    /** Clock. */
    private final InstantSource clock = new MonotonicClock();

    /** Sends HTTP requests. */
    private final BlockingHttpClient http = new BlockingHttpClient(SILENCE, CONNECTIONS, true);

    /** Event loops. */
    private final EventLoops runtime = new EventLoops(1);

    /** Client for daemons. */
    private final PeerClient peers = new PeerClient(runtime);

    /**
     * Creates a context.
     *
     * @param out results
     * @param err progress and errors
     */
    CommandContext(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Returns the clock.
     *
     * @return clock
     */
    InstantSource clock() {
        return clock;
    }

    /**
     * Returns the client for daemons.
     *
     * @return client
     */
    PeerClient peers() {
        return peers;
    }

    /**
     * Returns the table service.
     *
     * @param options options with its address
     * @return client
     */
    TableService table(CommonOptions options) {
        return new HttpTableService(http, options.tableAddress);
    }

    /**
     * Returns the host list.
     *
     * @param options options with its address
     * @return client
     */
    HostList hostList(CommonOptions options) {
        return new HttpHostList(http, options.hostListAddress);
    }

    /**
     * Prints a result.
     *
     * @param line line of text
     */
    void print(String line) {
        out.println(line);
    }

    /**
     * Prints a result as JSON.
     *
     * @param value value
     */
    void json(Object value) {
        out.println(Json.writePretty(value));
    }

    /**
     * Prints progress or an error.
     *
     * @param line line of text
     */
    void note(String line) {
        err.println(line);
    }

    @Override
    public void close() {
        peers.close();
        runtime.close();
        http.close();
    }
}
