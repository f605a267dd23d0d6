package org.papayawalk.core.config;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Configuration in force on this daemon. Its version never decreases. Thread-safe: readers always
 * see a complete configuration.
 */
public final class ActiveConfiguration {
    private final AtomicReference<Configuration> current =
            new AtomicReference<>(Configuration.EMPTY);

    /**
     * Puts a configuration in force if its version is higher than that of the present one.
     *
     * @param received configuration read from the table service or received from a peer
     * @return true if the configuration was put in force, false if its version is not higher
     */
    public boolean adoptIfLater(Configuration received) {
        Configuration before =
                current.getAndAccumulate(
                        received, (a, b) -> b.version().isAfter(a.version()) ? b : a);
        return received.version().isAfter(before.version());
    }

    /**
     * Returns the configuration in force.
     *
     * @return the adopted configuration with the highest version, {@link Configuration#EMPTY} until
     *     the first one is adopted
     */
    public Configuration current() {
        return current.get();
    }
}
