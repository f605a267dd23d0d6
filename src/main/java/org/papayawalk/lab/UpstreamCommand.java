package org.papayawalk.lab;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.papayawalk.adapter.standalone.BlockingHttpServer;
import org.papayawalk.core.Addresses;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.FaultInjector;
import org.papayawalk.lab.standin.ServiceStandIn;

/** Starts the stand-in for one upstream, a model engine or a plain service, with its faults. */
@Parameters(commandDescription = "Start a stand-in for a model engine or a plain service")
final class UpstreamCommand implements LabCommand {
    @Parameter(names = "--kind", required = true, description = "engine or service")
    private String kind;

    @Parameter(names = "--listen", required = true, description = "IP address and port")
    private String listen;

    @Parameter(names = "--prefill-millis", description = "engine: time to the first token")
    private long prefillMillis = 40;

    @Parameter(names = "--token-millis", description = "engine: time between tokens")
    private long tokenMillis = 10;

    @Parameter(
            names = "--max-running",
            description = "engine: highest number of concurrent requests")
    private int maxRunning = 64;

    @Parameter(
            names = "--checks-fencing",
            description = "engine: reject orders with an outdated fencing number")
    private boolean checksFencing;

    @Parameter(names = "--call-millis", description = "service: duration of a call")
    private long callMillis = 20;

    @Parameter(names = "--seed", description = "Seed of the random generator for faults")
    private long seed = 1;

    @Override
    public String name() {
        return "upstream";
    }

    @Override
    public int run() throws IOException {
        HttpRequestHandler standIn =
                kind.equals("service")
                        ? new ServiceStandIn(callMillis)
                        : new EngineStandIn(
                                new EngineSettings(
                                        prefillMillis, tokenMillis, maxRunning, checksFencing));
        new BlockingHttpServer(Addresses.parse(listen), new FaultInjector(standIn, seed));
        System.out.println(kind + " ready");
        return 0;
    }
}
