package org.papayawalk.lab;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.papayawalk.adapter.standalone.BlockingHttpServer;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.lab.standin.FaultInjector;
import org.papayawalk.lab.standin.HostListStandIn;
import org.papayawalk.lab.standin.OriginStandIn;
import org.papayawalk.lab.standin.TableStandIn;

/** Starts stand-ins for the platform's services, each with its own faults. */
@Parameters(
        commandDescription =
                "Start stand-ins for table service, object store, host list and origin")
final class PlatformCommand implements LabCommand {
    @Parameter(
            names = "--table-listen",
            required = true,
            description = "Address of the table service and object store")
    private String tableListen;

    @Parameter(names = "--hosts-listen", required = true, description = "Address of the host list")
    private String hostsListen;

    @Parameter(names = "--origin-listen", required = true, description = "Origin")
    private String originListen;

    @Parameter(names = "--hosts", required = true, description = "JSON file with the host list")
    private String hostsFile;

    @Parameter(
            names = "--lag-millis",
            description = "Delay until a change of the host list is visible")
    private long lagMillis = 2000;

    @Parameter(names = "--origin-bytes-per-second", description = "Bandwidth of the origin")
    private long originBytesPerSecond = 64L << 20;

    @Parameter(names = "--seed", description = "Seed of the random generator for faults")
    private long seed = 1;

    @Override
    public String name() {
        return "platform";
    }

    @Override
    public int run() throws IOException {
        MonotonicClock clock = new MonotonicClock();
        List<HostRecord> hosts =
                Json.read(Files.readAllBytes(Path.of(hostsFile)), new TypeReference<>() {});
        OriginStandIn origin = new OriginStandIn(originBytesPerSecond, clock);
        startStandIn(tableListen, new TableStandIn());
        startStandIn(hostsListen, new HostListStandIn(hosts, Duration.ofMillis(lagMillis), clock));
        origin.attachFaults(startStandIn(originListen, origin));
        System.out.println("platform ready");
        return 0;
    }

    private FaultInjector startStandIn(String address, HttpRequestHandler standIn)
            throws IOException {
        FaultInjector faults = new FaultInjector(standIn, seed);
        new BlockingHttpServer(Addresses.parse(address), faults);
        return faults;
    }
}
