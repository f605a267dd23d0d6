package org.papayawalk.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.Fault;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.settings.SettingsValidator;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.DrainRequest;
import org.papayawalk.wire.proto.Envelope;

/** Requests that the daemon of a host accepts no new work. Confined to one thread. */
final class DrainCommand implements Command {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private final Options options = new Options();

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public ExitCode run(CommandContext context) {
        String host = options.hosts.get(0);
        Either<Fault, List<HostRecord>> list = context.hostList(options).read();
        if (list.isLeft()) {
            context.printDiagnostic("cannot read the host list: " + list.getLeft());
            return ExitCode.UNKNOWN;
        }
        Optional<HostRecord> record =
                list.get().stream().filter(h -> h.host().value().equals(host)).findFirst();
        if (record.isEmpty()) {
            context.printDiagnostic("host \"" + host + "\" is not in the host list");
            return ExitCode.REFUSED;
        }
        Envelope.Builder request =
                Envelope.newBuilder()
                        .setDrainRequest(DrainRequest.newBuilder().setReason("operator"));
        Either<Fault, Envelope> answer =
                context.peers()
                        .request(
                                record.get().address(), TrafficClass.LIVE, request, REQUEST_TIMEOUT)
                        .join();
        if (answer.isLeft()) {
            context.printDiagnostic(
                    "host \"" + host + "\" did not confirm the drain request: " + answer.getLeft());
            return ExitCode.UNKNOWN;
        }
        if (options.json) {
            context.printJson(Map.of("host", host, "draining", true));
        } else {
            context.print("draining host=" + host);
        }
        return ExitCode.OK;
    }

    /** Command line options. Written once, by the parser. */
    @Parameters(commandDescription = "Drain a host: its daemon accepts no new work")
    private static final class Options extends CommonOptions {
        /** Name of the host; exactly one is valid. */
        @Parameter(description = "HOST")
        List<String> hosts = new ArrayList<>();

        @Override
        SettingsValidator validate() {
            return super.validate()
                    .address("--host-list-address", hostListAddress)
                    .require(hosts.size() == 1, "HOST", hosts, "is not exactly one host name");
        }
    }
}
