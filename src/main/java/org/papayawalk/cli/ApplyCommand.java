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

/** Checks a sheet, shows its difference and has it accepted, or only does the first two. */
final class ApplyCommand extends NamedCommand<ApplyCommand.Options> {
    /** Whether the sheet is only compared. */
    private final boolean diffOnly;

    /**
     * Creates the command.
     *
     * @param name name on the command line
     * @param diffOnly whether the sheet is only compared
     */
    ApplyCommand(String name, boolean diffOnly) {
        super(name, new Options());
        this.diffOnly = diffOnly;
    }

    @Override
    public ExitCode run(CommandContext context) {
        Either<List<SheetFault>, List<FleetSpec>> rows = readSheet();
        if (rows.isLeft()) {
            rows.getLeft().forEach(f -> context.note(options().sheet() + ": " + f));
            if (options().json) {
                context.json(Map.of("result", "faulty-sheet", "faults", rows.getLeft()));
            }
            return ExitCode.USAGE;
        }
        ConfigClient client = new ConfigClient(context.table(options()));
        Either<Fault, ConfigClient.Accepted> base = client.read();
        if (base.isLeft()) {
            context.note("cannot read the accepted configuration: " + base.getLeft());
            return ExitCode.UNKNOWN;
        }
        return apply(context, client, base.get(), rows.get());
    }

    /**
     * Applies checked rows.
     *
     * @param context context
     * @param client client for the configuration
     * @param base accepted configuration
     * @param rows checked rows
     * @return exit code
     */
    private ExitCode apply(
            CommandContext context,
            ConfigClient client,
            ConfigClient.Accepted base,
            List<FleetSpec> rows) {
        long version = base.configuration().version().number();
        if (options().base >= 0 && options().base != version) {
            context.note("version %d is accepted, not %d".formatted(version, options().base));
            showWinner(context, client, version);
            return report(context, ApplyResult.CONFLICT, version, List.of());
        }
        List<FleetChange> changes = FleetChange.between(base.configuration().rows(), rows);
        if (!options().json) {
            changes.forEach(c -> context.print(c.kind() + " " + c.fleet() + ": " + c.detail()));
        }
        if (diffOnly || options().dryRun || changes.isEmpty()) {
            if (options().json) {
                context.json(Map.of("base", version, "changes", changes));
            } else if (changes.isEmpty()) {
                context.print("no difference to version " + version);
            }
            return ExitCode.OK;
        }
        Configuration next = base.configuration().next(UUID.randomUUID().toString(), rows);
        ApplyResult result =
                client.write(base, next, options().operator, context.clock().instant());
        if (result == ApplyResult.CONFLICT) {
            showWinner(context, client, next.version().number());
        }
        return report(context, result, next.version().number(), changes);
    }

    /**
     * Shows which rows the change that came first has changed.
     *
     * @param context context
     * @param client client for the configuration
     * @param version version that the other change made
     */
    private static void showWinner(CommandContext context, ConfigClient client, long version) {
        for (AuditEntry e : client.audit().getOrElse(List.of())) {
            if (e.version().number() < version) {
                continue;
            }
            String line = "version %s by %s at %s came first; it changed:";
            context.note(line.formatted(e.version(), e.operator(), e.at()));
            e.changes().forEach(c -> context.note("  " + c.kind() + " " + c.fleet()));
        }
    }

    /**
     * Reports the result.
     *
     * @param context context
     * @param result result
     * @param version version that the change makes or conflicts with
     * @param changes difference
     * @return exit code
     */
    private ExitCode report(
            CommandContext context, ApplyResult result, long version, List<FleetChange> changes) {
        String word = result.name().toLowerCase(Locale.ROOT);
        if (options().json) {
            context.json(Map.of("result", word, "version", version, "changes", changes));
        } else {
            context.print(word + " version=" + version + " changes=" + changes.size());
        }
        return switch (result) {
            case ACCEPTED -> ExitCode.OK;
            case UNKNOWN -> ExitCode.UNKNOWN;
            default -> ExitCode.REFUSED;
        };
    }

    /**
     * Reads and checks the sheet.
     *
     * @return its rows, or every fault
     */
    private Either<List<SheetFault>, List<FleetSpec>> readSheet() {
        try {
            String text = Files.readString(Path.of(options().sheet()), StandardCharsets.UTF_8);
            return new SheetParser().parse(text);
        } catch (IOException e) {
            String reason = "cannot read the file as UTF-8 text: " + e.getMessage();
            return Either.left(List.of(new SheetFault(0, "", reason)));
        }
    }

    /** Options of the command. Filled once. */
    @Parameters(commandDescription = "Check a sheet, show its difference and have it accepted")
    static final class Options extends CommonOptions {
        /** Sheet. */
        @Parameter(description = "SHEET.csv")
        List<String> sheets = new ArrayList<>();

        /** Dry run. */
        @Parameter(names = "--dry-run", description = "Show the difference, change nothing")
        boolean dryRun;

        /** Base version. */
        @Parameter(names = "--base", description = "Refuse unless this version is the accepted one")
        long base = -1;

        /** Operator. */
        @Parameter(names = "--operator", description = "Name for the audit trail")
        String operator = System.getProperty("user.name", "unknown");

        @Override
        SettingsValidator checks() {
            return super.checks()
                    .address("--table-address", tableAddress)
                    .require(sheets.size() == 1, "SHEET.csv", sheets, "is not one file");
        }

        /**
         * Returns the path of the sheet.
         *
         * @return path
         */
        private String sheet() {
            return sheets.get(0);
        }
    }
}
