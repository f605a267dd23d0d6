package org.papayawalk.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.papayawalk.core.desired.DesiredStateCheck;
import org.papayawalk.core.desired.DesiredStateDifference;
import org.papayawalk.core.desired.Finding;
import org.papayawalk.platform.DecodedDesiredState;
import org.papayawalk.platform.DesiredStateCodec;
import org.papayawalk.settings.SettingsValidator;

/**
 * Checks a desired state of the users' machines before it is sent, and compares it with the one in
 * force. Speaks to nobody. Confined to one thread.
 */
final class CheckCommand extends AbstractCommand<CheckCommand.Options> {

    /** Creates the command. */
    CheckCommand() {
        super("check", new Options());
    }

    @Override
    public ExitCode run(CommandContext context) {
        try {
            DecodedDesiredState checked = read(options().files.get(0));
            List<String> differences = new ArrayList<>();
            if (options().against != null) {
                differences.addAll(
                        DesiredStateDifference.between(
                                read(options().against).desired(), checked.desired()));
            }
            return report(context, checked, differences);
        } catch (IOException e) {
            context.printDiagnostic("papayawalk check: " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private static DecodedDesiredState read(String file) throws IOException {
        try {
            return DesiredStateCodec.decode(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    private ExitCode report(
            CommandContext context, DecodedDesiredState checked, List<String> differences) {
        List<Finding> findings = DesiredStateCheck.check(checked.desired());
        if (options().json) {
            context.printJson(
                    Map.of(
                            "version",
                            checked.desired().version(),
                            "omitted",
                            checked.omitted(),
                            "findings",
                            findings,
                            "differences",
                            differences));
        } else {
            checked.omitted().forEach(o -> context.print("error: " + o + ": cannot be used"));
            findings.forEach(
                    f ->
                            context.print(
                                    "%s: %s: %s"
                                            .formatted(
                                                    f.severity().name().toLowerCase(Locale.ROOT),
                                                    f.subject(),
                                                    f.text())));
            differences.forEach(d -> context.print("difference: " + d));
        }
        boolean refused =
                checked.omittedCount() > 0
                        || findings.stream().anyMatch(f -> f.severity() == Finding.Severity.ERROR);
        return refused ? ExitCode.REFUSED : ExitCode.OK;
    }

    /** Command line options. Written once, by the parser. */
    @Parameters(commandDescription = "Check a desired state before it is sent")
    static final class Options extends CommonOptions {
        /** File with the desired state; exactly one is valid. */
        @Parameter(description = "FILE")
        List<String> files = new ArrayList<>();

        /** File with the desired state in force, null if it is not to be compared. */
        @Parameter(names = "--against", description = "File with the desired state in force")
        String against;

        @Override
        SettingsValidator validate() {
            return super.validate().require(files.size() == 1, "FILE", files, "is not one file");
        }
    }
}
