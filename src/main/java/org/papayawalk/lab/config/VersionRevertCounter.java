package org.papayawalk.lab.config;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Watches the versions of daemons for steps backwards. Confined to one thread. */
final class VersionRevertCounter {
    /** Highest version seen, by daemon. */
    private final Map<Object, Long> highest = new HashMap<>();

    /** Steps backwards. */
    private long reverts;

    /**
     * Looks at a daemon.
     *
     * @param daemon daemon
     * @param version its version
     */
    void look(Object daemon, Supplier<Long> version) {
        long now = version.get();
        long before = highest.getOrDefault(daemon, 0L);
        if (now < before) {
            reverts++;
        }
        highest.put(daemon, Math.max(now, before));
    }

    /**
     * Returns the steps backwards.
     *
     * @return 0 or more
     */
    long reverts() {
        return reverts;
    }
}
