package org.papayawalk.daemon.standalone;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.HttpHostList;
import org.papayawalk.core.Product;
import org.papayawalk.log.Event;
import org.papayawalk.settings.EnvironmentDefaults;

/** Entry point of the stand-alone daemon, {@code papayawalkd}. */
public final class DaemonMain {
    private static final int EXIT_INVALID_SETTINGS = 2;

    private static final int EXIT_START_FAILED = 3;

    // Longest wait for the next byte of the host list at the start.
    private static final Duration HOST_LIST_TIMEOUT = Duration.ofSeconds(2);

    private DaemonMain() {}

    /**
     * Starts the daemon and returns; it runs until the process receives a termination signal. Exits
     * with status 2 if a setting is invalid, with 3 if an address to listen on cannot be used.
     *
     * @param arguments flags as described in {@link DaemonSettings}
     */
    public static void main(String[] arguments) {
        DaemonSettings settings = new DaemonSettings();
        JCommander commander =
                JCommander.newBuilder()
                        .programName("papayawalkd")
                        .addObject(settings)
                        .defaultProvider(new EnvironmentDefaults(System.getenv()))
                        .build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("papayawalkd: " + e.getMessage());
            System.exit(EXIT_INVALID_SETTINGS);
        }
        if (settings.help) {
            commander.usage();
            return;
        }
        if (settings.version) {
            System.out.println("papayawalkd " + Product.VERSION);
            return;
        }
        List<String> faults = settings.faults();
        if (faults.isEmpty()) {
            faults = domainFaults(settings);
        }
        if (!faults.isEmpty()) {
            faults.forEach(f -> System.err.println("papayawalkd: " + f));
            System.exit(EXIT_INVALID_SETTINGS);
        }
        run(settings);
    }

    private static List<String> domainFaults(DaemonSettings settings) {
        try (BlockingHttpClient http = new BlockingHttpClient(HOST_LIST_TIMEOUT, 1)) {
            HttpHostList list = new HttpHostList(http, settings.hostListAddress);
            return DomainCheck.faults(settings.domain, list);
        }
    }

    private static void run(DaemonSettings settings) {
        try {
            Daemon daemon = new Daemon(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
            Event.named("started")
                    .with("role", settings.role)
                    .with("host", settings.host)
                    .with("domain", settings.domain)
                    .with("version", Product.VERSION)
                    .info();
        } catch (IOException e) {
            System.err.println("papayawalkd: " + e.getMessage());
            System.exit(EXIT_START_FAILED);
        }
    }
}
