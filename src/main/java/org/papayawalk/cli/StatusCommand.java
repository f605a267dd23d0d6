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

/**
 * Prints the state of every host. As {@code rollout} it first waits until every host has reached
 * the accepted sheet or the timeout expires.
 */
final class StatusCommand extends AbstractCommand<StatusCommand.Options> {
    private static final long POLL_INTERVAL_MILLIS = 250;

    private final boolean waitsForRollout;

    /**
     * Creates the command.
     *
     * @param name name on the command line
     * @param waitsForRollout whether to wait until every host has reached the accepted sheet
     */
    StatusCommand(String name, boolean waitsForRollout) {
        super(name, new Options());
        this.waitsForRollout = waitsForRollout;
    }

    @Override
    public ExitCode run(CommandContext context) throws InterruptedException {
        Instant deadline = context.clock().instant().plusSeconds(options().timeoutSeconds);
        HostsSnapshot snapshot = readSnapshot(context);
        while (waitsForRollout
                && !snapshot.allAtSheet()
                && context.clock().instant().isBefore(deadline)) {
            context.printDiagnostic(snapshot.progressLine());
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            snapshot = readSnapshot(context);
        }
        if (snapshot.fault() != null) {
            context.printDiagnostic(snapshot.fault());
        }
        printSnapshot(context, snapshot);
        if (snapshot.hosts().isEmpty()) {
            return ExitCode.UNKNOWN;
        }
        return snapshot.allAtSheet() ? ExitCode.OK : ExitCode.REFUSED;
    }

    private HostsSnapshot readSnapshot(CommandContext context) {
        Either<Fault, ConfigClient.Accepted> accepted =
                new ConfigClient(context.tableService(options())).read();
        Either<Fault, List<HostRecord>> hosts = context.hostList(options()).read();
        if (hosts.isLeft()) {
            return new HostsSnapshot(0, List.of(), "cannot read the host list: " + hosts.getLeft());
        }
        String fault =
                accepted.isLeft()
                        ? "cannot read the accepted configuration: " + accepted.getLeft()
                        : null;
        long version = accepted.map(a -> a.configuration().version().number()).getOrElse(-1L);
        List<HostRecord> sorted =
                hosts.get().stream().sorted(Comparator.comparing(HostRecord::host)).toList();
        return new HostsSnapshot(
                version, new StatusClient(context.peers()).queryAll(sorted, version), fault);
    }

    private void printSnapshot(CommandContext context, HostsSnapshot snapshot) {
        if (options().json) {
            context.printJson(
                    Map.of(
                            "acceptedVersion", snapshot.acceptedVersion(),
                            "reached", snapshot.allAtSheet(),
                            "hosts", snapshot.hosts()));
            return;
        }
        String format = "%-16s %-12s %-6s %-12s %7s %-10s %11s %-12s %s";
        context.print(
                format.formatted(
                        "HOST", "DOMAIN", "ROLE", "FLEET", "CONFIG", "STEP", "CHUNKS", "SERVING",
                        "NOTES"));
        for (HostStatus h : snapshot.hosts()) {
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
        context.print(snapshot.progressLine());
    }

    /**
     * State of all hosts, read at one time. Immutable.
     *
     * @param acceptedVersion version of the accepted configuration; -1 if it cannot be read, 0 if
     *     the host list cannot be read
     * @param hosts state of every host, sorted by name; empty if the host list cannot be read
     * @param fault error message if the host list or the configuration cannot be read, else null
     */
    private record HostsSnapshot(long acceptedVersion, List<HostStatus> hosts, String fault) {

        // False if the accepted version is unknown or a host did not respond.
        private boolean allAtSheet() {
            return acceptedVersion > 0
                    && !hosts.isEmpty()
                    && hosts.stream().allMatch(HostStatus::atSheet);
        }

        private String progressLine() {
            long atSheet = hosts.stream().filter(HostStatus::atSheet).count();
            long unknown = hosts.stream().filter(h -> !h.reached()).count();
            long held = hosts.stream().mapToLong(HostStatus::chunksHeld).sum();
            long total = hosts.stream().mapToLong(HostStatus::chunksTotal).sum();
            long percent = total == 0 ? 100 : 100 * held / total;
            return "version=%d at-sheet=%d/%d unknown=%d chunks=%d%%"
                    .formatted(acceptedVersion, atSheet, hosts.size(), unknown, percent);
        }
    }

    /** Command line options. Written once, by the parser. */
    @Parameters(
            commandDescription = "Show all hosts; rollout first waits until all are at the sheet")
    static final class Options extends CommonOptions {
        /** Longest wait of {@code rollout}, in seconds. */
        @Parameter(names = "--timeout-seconds", description = "rollout: longest wait")
        int timeoutSeconds = 600;

        @Override
        SettingsValidator validate() {
            return super.validate()
                    .address("--table-address", tableAddress)
                    .address("--host-list-address", hostListAddress)
                    .between("--timeout-seconds", timeoutSeconds, 1, 86_400);
        }
    }
}
