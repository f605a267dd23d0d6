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

/** Tells a host to take no new work. */
final class DrainCommand implements Command {
    /** Longest wait for the daemon. */
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** Options. */
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
            context.note("cannot read the host list: " + list.getLeft());
            return ExitCode.UNKNOWN;
        }
        Optional<HostRecord> record =
                list.get().stream().filter(h -> h.host().value().equals(host)).findFirst();
        if (record.isEmpty()) {
            context.note("host \"" + host + "\" is not in the host list");
            return ExitCode.REFUSED;
        }
        Envelope.Builder request =
                Envelope.newBuilder()
                        .setDrainRequest(DrainRequest.newBuilder().setReason("operator"));
        Either<Fault, Envelope> answer =
                context.peers()
                        .request(record.get().address(), TrafficClass.LIVE, request, LIMIT)
                        .join();
        if (answer.isLeft()) {
            context.note("host \"" + host + "\" did not confirm: " + answer.getLeft());
            return ExitCode.UNKNOWN;
        }
        if (options.json) {
            context.json(Map.of("host", host, "draining", true));
        } else {
            context.print("draining host=" + host);
        }
        return ExitCode.OK;
    }

    /** Options of the command. Filled once. */
    @Parameters(commandDescription = "Tell a host to take no new work")
    private static final class Options extends CommonOptions {
        /** Host. */
        @Parameter(description = "HOST")
        List<String> hosts = new ArrayList<>();

        @Override
        SettingsValidator checks() {
            return super.checks()
                    .address("--host-list-address", hostListAddress)
                    .require(hosts.size() == 1, "HOST", hosts, "is not one host");
        }
    }
}
