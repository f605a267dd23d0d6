package org.papayawalk.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.papayawalk.adapter.standalone.ConfigClient;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.settings.SettingsValidator;

/** Shows how far every host is, or waits until every host has reached the accepted sheet. */
final class StatusCommand extends NamedCommand<StatusCommand.Options> {
    /** Time between looks while waiting, in milliseconds. */
    private static final long LOOK_MILLIS = 250;

    /** Whether to wait. */
    private final boolean waits;

    /**
     * Creates the command.
     *
     * @param name name on the command line
     * @param waits whether to wait until every host has reached the accepted sheet
     */
    StatusCommand(String name, boolean waits) {
        super(name, new Options());
        this.waits = waits;
    }

    @Override
    public ExitCode run(CommandContext context) throws InterruptedException {
        Instant until = context.clock().instant().plusSeconds(options().timeoutSeconds);
        View view = look(context);
        while (waits && !view.reached() && context.clock().instant().isBefore(until)) {
            context.note(view.progressLine());
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            view = look(context);
        }
        if (view.fault() != null) {
            context.note(view.fault());
        }
        show(context, view);
        if (view.hosts().isEmpty()) {
            return ExitCode.UNKNOWN;
        }
        return view.reached() ? ExitCode.OK : ExitCode.REFUSED;
    }

    /**
     * Looks once.
     *
     * @param context context
     * @return what was seen
     */
    private View look(CommandContext context) {
        Either<Fault, ConfigClient.Accepted> accepted =
                new ConfigClient(context.table(options())).read();
        Either<Fault, List<HostRecord>> hosts = context.hostList(options()).read();
        if (hosts.isLeft()) {
            return new View(0, List.of(), "cannot read the host list: " + hosts.getLeft());
        }
        String fault =
                accepted.isLeft()
                        ? "cannot read the accepted configuration: " + accepted.getLeft()
                        : null;
        long version = accepted.map(a -> a.configuration().version().number()).getOrElse(-1L);
        List<HostRecord> sorted =
                hosts.get().stream().sorted(Comparator.comparing(HostRecord::host)).toList();
        return new View(version, new StatusClient(context.peers()).ask(sorted, version), fault);
    }

    /**
     * Shows what was seen.
     *
     * @param context context
     * @param view what was seen
     */
    private void show(CommandContext context, View view) {
        if (options().json) {
            context.json(
                    Map.of(
                            "acceptedVersion", view.version(),
                            "reached", view.reached(),
                            "hosts", view.hosts()));
            return;
        }
        String format = "%-16s %-12s %-6s %-12s %7s %-10s %11s %-12s %s";
        context.print(
                format.formatted(
                        "HOST", "DOMAIN", "ROLE", "FLEET", "CONFIG", "STEP", "CHUNKS", "SERVING",
                        "NOTES"));
        for (HostStatus h : view.hosts()) {
            context.print(
                    format.formatted(
                                    h.host(),
                                    h.domain(),
                                    h.role(),
                                    h.fleet(),
                                    h.reached() ? h.configVersion() : "unknown",
                                    h.step(),
                                    h.chunksHeld() + "/" + h.chunksTotal(),
                                    new Digest(h.serving()).shortText(),
                                    String.join("; ", h.notes()))
                            .stripTrailing());
        }
        context.print(view.progressLine());
    }

    /**
     * What was seen at one moment. Immutable.
     *
     * @param version version of the accepted configuration, -1 if it is unknown
     * @param hosts state of every host
     * @param fault what could not be read, or null
     */
    private record View(long version, List<HostStatus> hosts, String fault) {

        /**
         * Tells whether every host has reached the accepted sheet.
         *
         * @return false if one has not, or if the sheet or a host is unknown
         */
        private boolean reached() {
            return version > 0 && !hosts.isEmpty() && hosts.stream().allMatch(HostStatus::atSheet);
        }

        /**
         * Summarizes the view.
         *
         * @return one line
         */
        private String progressLine() {
            long at = hosts.stream().filter(HostStatus::atSheet).count();
            long unknown = hosts.stream().filter(h -> !h.reached()).count();
            long held = hosts.stream().mapToLong(HostStatus::chunksHeld).sum();
            long total = hosts.stream().mapToLong(HostStatus::chunksTotal).sum();
            long percent = total == 0 ? 100 : 100 * held / total;
            return "version=%d at-sheet=%d/%d unknown=%d chunks=%d%%"
                    .formatted(version, at, hosts.size(), unknown, percent);
        }
    }

    /** Options of the command. Filled once. */
    @Parameters(commandDescription = "Show every host, or wait until all have reached the sheet")
    static final class Options extends CommonOptions {
        /** Longest wait. */
        @Parameter(names = "--timeout-seconds", description = "rollout: longest wait")
        int timeoutSeconds = 600;

        @Override
        SettingsValidator checks() {
            return super.checks()
                    .address("--table-address", tableAddress)
                    .address("--host-list-address", hostListAddress)
                    .between("--timeout-seconds", timeoutSeconds, 1, 86_400);
        }
    }
}
