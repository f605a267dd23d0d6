package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.nio.file.Path;
import org.papayawalk.core.Product;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.daemon.managed.agent.ManagedAgentRole;
import org.papayawalk.daemon.managed.entry.ManagedEntryRole;
import org.papayawalk.log.Event;
import org.papayawalk.platform.SettingsCodec;
import sun.misc.Signal;

/** Starts a daemon on a machine of the platform. */
public final class ManagedMain {
    /** Exit code of wrong settings. */
    private static final int WRONG_SETTINGS = 2;

    /** Exit code of an address that cannot be used. */
    private static final int CANNOT_START = 3;

    /** Prevents instances. */
    private ManagedMain() {}

    /** Part of a daemon that runs until it is told to stop. */
    public interface Role {
        /**
         * Starts the role.
         *
         * @throws IOException if an address cannot be used
         */
        void start() throws IOException;

        /** Stops the role gracefully; returns when the process may end. */
        void stop();
    }

    /**
     * Starts the daemon and returns; the daemon runs until it is told to stop.
     *
     * @param arguments name of the role: {@code entry} or {@code agent}
     */
    public static void main(String[] arguments) {
        String name = arguments.length == 1 ? arguments[0] : "";
        if (!name.equals("entry") && !name.equals("agent")) {
            System.err.println("papayawalk: give one role, entry or agent");
            System.exit(WRONG_SETTINGS);
        }
        String file = System.getenv(SettingsCodec.FILE_VARIABLE);
        if (file == null) {
            System.err.println("papayawalk: " + SettingsCodec.FILE_VARIABLE + " is not set");
            System.exit(WRONG_SETTINGS);
        }
        try {
            run(name, SettingsCodec.read(Path.of(file)), Path.of(file));
        } catch (IOException e) {
            System.err.println("papayawalk: " + file + ": " + e.getMessage());
            System.exit(WRONG_SETTINGS);
        }
    }

    /**
     * Runs a role.
     *
     * @param name name of the role
     * @param settings settings of the process
     * @param file settings file
     */
    private static void run(String name, ManagedSettings settings, Path file) {
        ManagedNode node = new ManagedNode(settings);
        Role role = name.equals("entry") ? new ManagedEntryRole(node) : new ManagedAgentRole(node);
        try {
            role.start();
        } catch (IOException e) {
            System.err.println("papayawalk: " + e.getMessage());
            System.exit(CANNOT_START);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(role::stop, "stop"));
        Signal.handle(new Signal("HUP"), s -> reread(file));
        Event.named("started")
                .with("role", name)
                .with("host", settings.host())
                .with("domain", settings.domain())
                .with("version", Product.VERSION)
                .info();
    }

    /**
     * Reads the settings file again and says whether it is right. Addresses stay as they were at
     * the start.
     *
     * @param file settings file
     */
    private static void reread(Path file) {
        try {
            ManagedSettings settings = SettingsCodec.read(file);
            Event.named("settings-reread").with("seeds", settings.seeds()).info();
        } catch (IOException e) {
            Event.named("settings-wrong").with("reason", e.getMessage()).warn();
        }
    }
}
