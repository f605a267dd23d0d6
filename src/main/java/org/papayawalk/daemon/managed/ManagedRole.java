package org.papayawalk.daemon.managed;

import java.io.IOException;

/** Role of a daemon on the managed platform, entry or agent. Thread-safe. */
public interface ManagedRole {
    /**
     * Starts the role and returns once it listens.
     *
     * @throws IOException if the settings lack a value that the role needs, or if an address cannot
     *     be used
     */
    void start() throws IOException;

    /** Stops the role gracefully. Called on a shutdown hook; blocks until the process may exit. */
    void stop();
}
