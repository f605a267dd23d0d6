package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.papayawalk.core.Product;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.daemon.managed.agent.ManagedAgentRole;
import org.papayawalk.daemon.managed.entry.ManagedEntryRole;
import org.papayawalk.log.Event;
import org.papayawalk.platform.ManagedSettingsCodec;
import sun.misc.Signal;

/** Entry point of a daemon on the managed platform. */
public final class ManagedMain {
    private static final int EXIT_INVALID_SETTINGS = 2;

    private static final int EXIT_START_FAILED = 3;

    private ManagedMain() {}

    /**
     * Starts the daemon and returns; it runs until the process receives a termination signal. Exits
     * with status 2 if the arguments or the settings are invalid, with 3 if the role cannot start.
     *
     * @param arguments the role, {@code entry} or {@code agent}, as the only element
     */
    public static void main(String[] arguments) {
        String name = arguments.length == 1 ? arguments[0] : "";
        if (!name.equals("entry") && !name.equals("agent")) {
            System.err.println(
                    "papayawalk: expected one argument, entry or agent; got: "
                            + String.join(" ", arguments));
            System.exit(EXIT_INVALID_SETTINGS);
        }
        String file = System.getenv(ManagedSettingsCodec.FILE_VARIABLE);
        if (file == null) {
            System.err.println(
                    "papayawalk: "
                            + ManagedSettingsCodec.FILE_VARIABLE
                            + " is not set; it must hold the path of the settings file");
            System.exit(EXIT_INVALID_SETTINGS);
        }
        try {
            run(name, ManagedSettingsCodec.read(Path.of(file)), Path.of(file));
        } catch (IOException e) {
            System.err.println("papayawalk: " + file + ": " + e.getMessage());
            System.exit(EXIT_INVALID_SETTINGS);
        }
    }

    private static void run(String name, ManagedSettings settings, Path file) {
        ManagedNode node = new ManagedNode(settings);
        ManagedRole role =
                name.equals("entry") ? new ManagedEntryRole(node) : new ManagedAgentRole(node);
        try {
            role.start();
        } catch (IOException e) {
            System.err.println("papayawalk: " + e.getMessage());
            System.exit(EXIT_START_FAILED);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(role::stop, "stop"));
        Signal.handle(new Signal("HUP"), s -> rereadSettings(node, file));
        Event.named("started")
                .with("role", name)
                .with("host", settings.host())
                .with("domain", settings.domain())
                .with("version", Product.VERSION)
                .info();
    }

    // A file that cannot be read changes nothing.
    private static void rereadSettings(ManagedNode node, Path file) {
        try {
            ManagedSettings settings = ManagedSettingsCodec.read(file);
            List<String> atRestart = node.applySettings(settings);
            Event.named("settings-reread").with("seeds", settings.seeds()).info();
            if (!atRestart.isEmpty()) {
                Event.named("settings-need-restart").with("keys", atRestart).warn();
            }
        } catch (IOException e) {
            Event.named("settings-wrong").with("reason", e.getMessage()).warn();
        }
    }
}
