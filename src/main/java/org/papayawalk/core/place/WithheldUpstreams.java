package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Upstream processes that have stated in an answer that they take no new requests from this entry.
 * A statement concerns one process; the next one with the same id starts without it. It holds
 * whatever the registration of the process says, also if that is missing for a while, as after an
 * outage of the store. Not thread-safe: confined to the event loop thread.
 */
public final class WithheldUpstreams {
    /** Bound on the remembered processes; the oldest are forgotten first. */
    private static final int MAX_PROCESSES = 4096;

    /** End of the time without requests by process, {@link Instant#MAX} if the process leaves. */
    private final Map<UpstreamProcess, Instant> ends =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<UpstreamProcess, Instant> eldest) {
                    return size() > MAX_PROCESSES;
                }
            };

    /**
     * Records an answer which states that its upstream leaves.
     *
     * @param process upstream process that answered
     * @return whether it has not stated that before
     */
    public boolean leaving(UpstreamProcess process) {
        return !Instant.MAX.equals(ends.put(process, Instant.MAX));
    }

    /**
     * Records an answer which states that its upstream takes no requests for a while. Of several
     * statements the one that ends last holds.
     *
     * @param process upstream process that answered
     * @param delay time from now without requests
     * @param now present time
     * @return whether the process took requests before
     */
    public boolean refusing(UpstreamProcess process, Duration delay, Instant now) {
        Instant known = until(process);
        boolean starts = !known.isAfter(now);
        if (starts) {
            ends.values().removeIf(t -> !t.isAfter(now));
        }
        Instant end = now.plus(delay);
        if (end.isAfter(known)) {
            ends.put(process, end);
        }
        return starts;
    }

    /**
     * Returns until when a process takes no new requests from this entry.
     *
     * @param process upstream process
     * @return time, {@link Instant#MIN} if it has not stated one, {@link Instant#MAX} if it leaves
     */
    public Instant until(UpstreamProcess process) {
        return ends.getOrDefault(process, Instant.MIN);
    }

    /**
     * Returns whether a process takes no new requests from this entry.
     *
     * @param process upstream process
     * @param now present time
     * @return true if it has stated so
     */
    public boolean isWithheld(UpstreamProcess process, Instant now) {
        return until(process).isAfter(now);
    }

    /**
     * Forgets a process without a start time, which cannot be told from the next one with its id.
     *
     * @param process upstream process that was registered anew
     */
    public void registered(UpstreamProcess process) {
        if (process.incarnation() == 0) {
            ends.remove(process);
        }
    }
}
