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
import org.papayawalk.adapter.HttpEndpoint;
import org.papayawalk.adapter.Json;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.lab.standin.FaultInjector;
import org.papayawalk.lab.standin.HostListStandIn;
import org.papayawalk.lab.standin.OriginStandIn;
import org.papayawalk.lab.standin.TableStandIn;

/** Starts the platform's stand-ins, each on an address of its own. */
@Parameters(commandDescription = "Start table service, object store, host list and origin")
final class PlatformCommand implements LabCommand {
    /** Table service. */
    @Parameter(names = "--table-listen", required = true, description = "Table and object store")
    private String tableListen;

    /** Host list. */
    @Parameter(names = "--hosts-listen", required = true, description = "Host list")
    private String hostsListen;

    /** Origin. */
    @Parameter(names = "--origin-listen", required = true, description = "Origin")
    private String originListen;

    /** Hosts. */
    @Parameter(names = "--hosts", required = true, description = "File with the host list")
    private String hostsFile;

    /** Lag. */
    @Parameter(names = "--lag-millis", description = "Time until a change of the list shows")
    private long lagMillis = 2000;

    /** Rate. */
    @Parameter(names = "--origin-bytes-per-second", description = "Rate of the origin's link")
    private long originBytesPerSecond = 64L << 20;

    /** Seed. */
    @Parameter(names = "--seed", description = "Seed of the faults' chance")
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
        listen(tableListen, new TableStandIn());
        listen(hostsListen, new HostListStandIn(hosts, Duration.ofMillis(lagMillis), clock));
        origin.attachFaults(listen(originListen, origin));
        System.out.println("platform ready");
        return 0;
    }

    /**
     * Starts a stand-in behind faults.
     *
     * @param address IP number and port
     * @param standIn stand-in
     * @return its faults
     * @throws IOException if the address cannot be used
     */
    private FaultInjector listen(String address, HttpRequestHandler standIn) throws IOException {
        FaultInjector faults = new FaultInjector(standIn, seed);
        new HttpEndpoint(Addresses.parse(address), faults);
        return faults;
    }
}
