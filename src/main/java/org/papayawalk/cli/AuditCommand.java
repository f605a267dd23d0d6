package org.papayawalk.cli;

import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.adapter.standalone.AuditEntry;
import org.papayawalk.adapter.standalone.ConfigClient;
import org.papayawalk.core.Fault;
import org.papayawalk.settings.SettingsValidator;

/** Prints the audit trail of the configuration, oldest entry first. Confined to one thread. */
final class AuditCommand implements Command {
    private final Options options = new Options();

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public ExitCode run(CommandContext context) {
        Either<Fault, List<AuditEntry>> entries =
                new ConfigClient(context.tableService(options)).audit();
        if (entries.isLeft()) {
            context.printDiagnostic("cannot read the audit trail: " + entries.getLeft());
            return ExitCode.UNKNOWN;
        }
        if (options.json) {
            context.printJson(entries.get());
            return ExitCode.OK;
        }
        for (AuditEntry e : entries.get()) {
            context.print(
                    "version=%s base=%s at=%s operator=%s change=%s"
                            .formatted(e.version(), e.base(), e.at(), e.operator(), e.changeId()));
            e.changes().forEach(c -> context.print("  " + c.kind() + " " + c.fleet()));
        }
        return ExitCode.OK;
    }

    /** Command line options. Written once, by the parser. */
    @Parameters(commandDescription = "Show who changed the configuration, when and how")
    private static final class Options extends CommonOptions {
        @Override
        SettingsValidator validate() {
            return super.validate().address("--table-address", tableAddress);
        }
    }
}
