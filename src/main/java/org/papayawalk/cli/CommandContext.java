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

/**
 * Output streams and clients of one run of a command: of the platform's services and of daemons.
 * Confined to one thread. Closing it closes all connections.
 */
final class CommandContext implements AutoCloseable {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    private static final int MAX_CONNECTIONS = 8;

    private final PrintStream out;

    private final PrintStream err;

    private final InstantSource clock = new MonotonicClock();

    private final BlockingHttpClient http = new BlockingHttpClient(READ_TIMEOUT, MAX_CONNECTIONS);

    private final EventLoops runtime = new EventLoops(1);

    private final PeerClient peers = new PeerClient(runtime);

    /**
     * Creates a context without open connections.
     *
     * @param out stream for results
     * @param err stream for progress and errors
     */
    CommandContext(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Returns the clock for deadlines and for the times of audit entries.
     *
     * @return monotonic clock, set to the wall time at the start of the command
     */
    InstantSource clock() {
        return clock;
    }

    /**
     * Returns the client for requests to daemons.
     *
     * @return client that this context closes
     */
    PeerClient peers() {
        return peers;
    }

    /**
     * Returns a client of the table service.
     *
     * @param options options with the validated address of the service
     * @return new client over the connections of this context
     */
    TableService tableService(CommonOptions options) {
        return new HttpTableService(http, options.tableAddress);
    }

    /**
     * Returns a client of the host list.
     *
     * @param options options with the validated address of the host list
     * @return new client over the connections of this context
     */
    HostList hostList(CommonOptions options) {
        return new HttpHostList(http, options.hostListAddress);
    }

    /**
     * Prints a line of the result to the standard output.
     *
     * @param line text without a line break at its end
     */
    void print(String line) {
        out.println(line);
    }

    /**
     * Prints the result to the standard output as indented JSON.
     *
     * @param value value to print
     */
    void printJson(Object value) {
        out.println(Json.writePretty(value));
    }

    /**
     * Prints a line of progress or an error to the standard error.
     *
     * @param line text without a line break at its end
     */
    void printDiagnostic(String line) {
        err.println(line);
    }

    @Override
    public void close() {
        peers.close();
        runtime.close();
        http.close();
    }
}
