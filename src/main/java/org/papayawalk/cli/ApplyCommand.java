package org.papayawalk.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import org.papayawalk.adapter.standalone.ApplyResult;
import org.papayawalk.adapter.standalone.AuditEntry;
import org.papayawalk.adapter.standalone.ConfigClient;
import org.papayawalk.core.Fault;
import org.papayawalk.core.config.Configuration;
import org.papayawalk.core.config.FleetChange;
import org.papayawalk.core.config.FleetSpec;
import org.papayawalk.core.config.SheetFault;
import org.papayawalk.core.config.SheetParser;
import org.papayawalk.settings.SettingsValidator;

/**
 * Validates a sheet and prints how it differs from the accepted configuration. Unless it only
 * compares, it then submits the sheet as the next version of the configuration.
 */
final class ApplyCommand extends AbstractCommand<ApplyCommand.Options> {
    private final boolean diffOnly;

    /**
     * Creates the command.
     *
     * @param name name on the command line
     * @param diffOnly true to compare the sheet without submitting it
     */
    ApplyCommand(String name, boolean diffOnly) {
        super(name, new Options());
        this.diffOnly = diffOnly;
    }

    @Override
    public ExitCode run(CommandContext context) {
        Either<List<SheetFault>, List<FleetSpec>> rows = readSheet();
        if (rows.isLeft()) {
            rows.getLeft().forEach(f -> context.printDiagnostic(options().sheetPath() + ": " + f));
            if (options().json) {
                context.printJson(Map.of("result", "faulty-sheet", "faults", rows.getLeft()));
            }
            return ExitCode.USAGE;
        }
        ConfigClient client = new ConfigClient(context.tableService(options()));
        Either<Fault, ConfigClient.Accepted> base = client.read();
        if (base.isLeft()) {
            context.printDiagnostic("cannot read the accepted configuration: " + base.getLeft());
            return ExitCode.UNKNOWN;
        }
        return applyRows(context, client, base.get(), rows.get());
    }

    private ExitCode applyRows(
            CommandContext context,
            ConfigClient client,
            ConfigClient.Accepted base,
            List<FleetSpec> rows) {
        long version = base.configuration().version().number();
        if (options().base >= 0 && options().base != version) {
            context.printDiagnostic(
                    "the accepted version is %d, but --base is %d"
                            .formatted(version, options().base));
            printConflictingChanges(context, client, version);
            return report(context, ApplyResult.CONFLICT, version, List.of());
        }
        List<FleetChange> changes = FleetChange.between(base.configuration().rows(), rows);
        if (!options().json) {
            changes.forEach(c -> context.print(c.kind() + " " + c.fleet() + ": " + c.detail()));
        }
        if (diffOnly || options().dryRun || changes.isEmpty()) {
            if (options().json) {
                context.printJson(Map.of("base", version, "changes", changes));
            } else if (changes.isEmpty()) {
                context.print("no difference from version " + version);
            }
            return ExitCode.OK;
        }
        Configuration next = base.configuration().next(UUID.randomUUID().toString(), rows);
        ApplyResult result =
                client.write(base, next, options().operator, context.clock().instant());
        if (result == ApplyResult.CONFLICT) {
            printConflictingChanges(context, client, next.version().number());
        }
        return report(context, result, next.version().number(), changes);
    }

    // Prints the accepted changes from the given version on, which this change conflicts with.
    private static void printConflictingChanges(
            CommandContext context, ConfigClient client, long version) {
        for (AuditEntry e : client.audit().getOrElse(List.of())) {
            if (e.version().number() < version) {
                continue;
            }
            String line = "version %s by %s at %s was accepted first; it changed:";
            context.printDiagnostic(line.formatted(e.version(), e.operator(), e.at()));
            e.changes().forEach(c -> context.printDiagnostic("  " + c.kind() + " " + c.fleet()));
        }
    }

    private ExitCode report(
            CommandContext context, ApplyResult result, long version, List<FleetChange> changes) {
        String word = result.name().toLowerCase(Locale.ROOT);
        if (options().json) {
            context.printJson(Map.of("result", word, "version", version, "changes", changes));
        } else {
            context.print(word + " version=" + version + " changes=" + changes.size());
        }
        return switch (result) {
            case ACCEPTED -> ExitCode.OK;
            case UNKNOWN -> ExitCode.UNKNOWN;
            default -> ExitCode.REFUSED;
        };
    }

    private Either<List<SheetFault>, List<FleetSpec>> readSheet() {
        try {
            String text = Files.readString(Path.of(options().sheetPath()), StandardCharsets.UTF_8);
            return new SheetParser().parse(text);
        } catch (IOException e) {
            String reason = "cannot read the file as UTF-8 text: " + e;
            return Either.left(List.of(new SheetFault(0, "", reason)));
        }
    }

    /** Command line options. Written once, by the parser. */
    @Parameters(commandDescription = "Validate a sheet and show its changes; apply also submits it")
    static final class Options extends CommonOptions {
        /** Path of the sheet; exactly one is valid. */
        @Parameter(description = "SHEET.csv")
        List<String> sheets = new ArrayList<>();

        /** Whether to stop after printing the changes. */
        @Parameter(names = "--dry-run", description = "Show the changes without submitting them")
        boolean dryRun;

        /** Version that the change requires to be the accepted one; -1 for any. */
        @Parameter(names = "--base", description = "Refuse unless this is the accepted version")
        long base = -1;

        /** Operator recorded in the audit trail; by default the user of the system. */
        @Parameter(names = "--operator", description = "Operator name for the audit trail")
        String operator = System.getProperty("user.name", "unknown");

        @Override
        SettingsValidator validate() {
            return super.validate()
                    .address("--table-address", tableAddress)
                    .require(sheets.size() == 1, "SHEET.csv", sheets, "is not exactly one file");
        }

        private String sheetPath() {
            return sheets.get(0);
        }
    }
}
