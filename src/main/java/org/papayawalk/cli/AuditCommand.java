package org.papayawalk.cli;

import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.List;
import org.papayawalk.adapter.standalone.AuditEntry;
import org.papayawalk.adapter.standalone.ConfigClient;
import org.papayawalk.core.Fault;
import org.papayawalk.settings.SettingsValidator;

/** Shows the audit trail. */
final class AuditCommand implements Command {
    /** Options. */
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
        Either<Fault, List<AuditEntry>> entries = new ConfigClient(context.table(options)).audit();
        if (entries.isLeft()) {
            context.note("cannot read the audit trail: " + entries.getLeft());
            return ExitCode.UNKNOWN;
        }
        if (options.json) {
            context.json(entries.get());
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

    /** Options of the command. Filled once. */
    @Parameters(commandDescription = "Show who changed the configuration, when and how")
    private static final class Options extends CommonOptions {
        @Override
        SettingsValidator checks() {
            return super.checks().address("--table-address", tableAddress);
        }
    }
}
