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

/** Starts the daemon. */
public final class DaemonMain {
    /** Exit code of wrong settings. */
    private static final int WRONG_SETTINGS = 2;

    /** Exit code of an address that cannot be used. */
    private static final int CANNOT_START = 3;

    /** Longest silence of the host list at the start. */
    private static final Duration LIST_SILENCE = Duration.ofSeconds(2);

    /** Prevents instances. */
    private DaemonMain() {}

    /**
     * Starts the daemon and returns; the daemon runs until it is told to stop.
     *
     * @param arguments flags
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
            System.exit(WRONG_SETTINGS);
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
            System.exit(WRONG_SETTINGS);
        }
        run(settings);
    }

    /**
     * Checks the failure domain against the host list.
     *
     * @param settings settings that are right in themselves
     * @return one text for each fault
     */
    private static List<String> domainFaults(DaemonSettings settings) {
        try (BlockingHttpClient http = new BlockingHttpClient(LIST_SILENCE, 1, false)) {
            HttpHostList list = new HttpHostList(http, settings.hostListAddress);
            return DomainCheck.faults(settings.domain, list);
        }
    }

    /**
     * Runs the daemon.
     *
     * @param settings checked settings
     */
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
            System.exit(CANNOT_START);
        }
    }
}
