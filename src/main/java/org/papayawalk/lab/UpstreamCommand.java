package org.papayawalk.lab;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.papayawalk.adapter.HttpEndpoint;
import org.papayawalk.core.Addresses;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.FaultInjector;
import org.papayawalk.lab.standin.ServiceStandIn;

/** Starts the stand-in of one upstream. */
@Parameters(commandDescription = "Start a model engine or a plain service")
final class UpstreamCommand implements LabCommand {
    /** Kind. */
    @Parameter(names = "--kind", required = true, description = "engine or service")
    private String kind;

    /** Address. */
    @Parameter(names = "--listen", required = true, description = "IP number and port")
    private String listen;

    /** Prefill. */
    @Parameter(names = "--prefill-millis", description = "engine: time to the first token")
    private long prefillMillis = 40;

    /** Token. */
    @Parameter(names = "--token-millis", description = "engine: time between tokens")
    private long tokenMillis = 10;

    /** Batch. */
    @Parameter(names = "--max-running", description = "engine: requests at once")
    private int maxRunning = 64;

    /** Fencing. */
    @Parameter(names = "--checks-fencing", description = "engine: refuse old fencing numbers")
    private boolean checksFencing;

    /** Call. */
    @Parameter(names = "--call-millis", description = "service: time that a call takes")
    private long callMillis = 20;

    /** Seed. */
    @Parameter(names = "--seed", description = "Seed of the faults' chance")
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
        new HttpEndpoint(Addresses.parse(listen), new FaultInjector(standIn, seed));
        System.out.println(kind + " ready");
        return 0;
    }
}
