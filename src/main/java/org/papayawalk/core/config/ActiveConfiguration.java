package org.papayawalk.core.config;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the configuration in force on this daemon. The version never decreases. Safe from any
 * thread; readers see a whole configuration.
 */
public final class ActiveConfiguration {
    /** Configuration with the highest version offered so far. */
    private final AtomicReference<Configuration> current =
            new AtomicReference<>(Configuration.EMPTY);

    /**
     * Adopts a configuration if it is later than the one in force.
     *
     * @param offered configuration read from the table service or pushed by a peer
     * @return true if it is in force now and was not before
     */
    public boolean adoptIfLater(Configuration offered) {
        Configuration before =
                current.getAndAccumulate(
                        offered, (a, b) -> b.version().isAfter(a.version()) ? b : a);
        return offered.version().isAfter(before.version());
    }

    /**
     * Returns the configuration in force.
     *
     * @return the latest adopted configuration
     */
    public Configuration current() {
        return current.get();
    }
}
