package org.papayawalk.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.adapter.standalone.IdempotencyTableSchema;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.Fault;
import org.papayawalk.core.Outcome;
import org.papayawalk.core.idempotency.IdempotencyRecord;
import org.papayawalk.core.port.TableRow;
import org.papayawalk.settings.SettingsValidator;

/**
 * Prints the outcome of a non-idempotent call, which it derives from the phase of the call's
 * record. Confined to one thread.
 */
final class OutcomeCommand implements Command {
    private final Options options = new Options();

    @Override
    public String name() {
        return "outcome";
    }

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public ExitCode run(CommandContext context) {
        String key = IdempotencyTableSchema.rowKey(options.team, options.keys.get(0));
        Either<Fault, Optional<TableRow>> row =
                context.tableService(options).read(IdempotencyTableSchema.TABLE, key);
        if (row.isLeft()) {
            context.printDiagnostic(
                    "cannot read the record of call \"" + key + "\": " + row.getLeft());
            return ExitCode.UNKNOWN;
        }
        if (row.get().isEmpty()) {
            return report(context, Outcome.NOT_RUN, "no row", "");
        }
        try {
            IdempotencyRecord record = Json.read(row.get().get().value(), IdempotencyRecord.class);
            String phase = record.phase().name().toLowerCase(Locale.ROOT);
            Outcome outcome =
                    switch (record.phase()) {
                        case ANSWERED -> Outcome.ANSWERED;
                        case STARTED -> Outcome.UNKNOWN;
                        default -> Outcome.NOT_RUN;
                    };
            return report(context, outcome, phase, record.holder());
        } catch (IOException e) {
            context.printDiagnostic(
                    "cannot parse the record of call \"" + key + "\": " + e.getMessage());
            return ExitCode.UNKNOWN;
        }
    }

    private ExitCode report(CommandContext context, Outcome outcome, String phase, String holder) {
        if (options.json) {
            context.printJson(Map.of("outcome", outcome.label(), "phase", phase, "holder", holder));
        } else {
            context.print(
                    "outcome=%s phase=%s holder=%s".formatted(outcome.label(), phase, holder));
        }
        return switch (outcome) {
            case ANSWERED -> ExitCode.OK;
            case NOT_RUN -> ExitCode.REFUSED;
            default -> ExitCode.UNKNOWN;
        };
    }

    /** Command line options. Written once, by the parser. */
    @Parameters(commandDescription = "Show the outcome of a non-idempotent call")
    private static final class Options extends CommonOptions {
        /** Idempotency key of the call; exactly one is valid. */
        @Parameter(description = "IDEMPOTENCY-KEY")
        List<String> keys = new ArrayList<>();

        /** Team of the caller. Keys are unique within a team. */
        @Parameter(names = "--team", description = "Team that sent the call")
        String team = "default";

        @Override
        SettingsValidator validate() {
            return super.validate()
                    .address("--table-address", tableAddress)
                    .name("--team", team)
                    .require(
                            keys.size() == 1,
                            "IDEMPOTENCY-KEY",
                            keys,
                            "is not exactly one idempotency key");
        }
    }
}
