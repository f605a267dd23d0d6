package org.papayawalk.lab.config;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Counts how often a daemon is observed at a lower version than before. Confined to one thread. */
final class VersionRevertCounter {
    // Highest version observed so far, by daemon.
    private final Map<Object, Long> highest = new HashMap<>();

    private long reverts;

    /**
     * Records the version of a daemon. Each call with a version below the highest one observed is
     * counted.
     *
     * @param daemon daemon, used as a key of a hash map
     * @param version supplies the version that the daemon has in force; called once
     */
    void observe(Object daemon, Supplier<Long> version) {
        long now = version.get();
        long before = highest.getOrDefault(daemon, 0L);
        if (now < before) {
            reverts++;
        }
        highest.put(daemon, Math.max(now, before));
    }

    /**
     * Returns the number of observations below the highest version.
     *
     * @return 0 or more
     */
    long reverts() {
        return reverts;
    }
}
