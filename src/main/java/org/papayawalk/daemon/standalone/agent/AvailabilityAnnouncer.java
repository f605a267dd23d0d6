package org.papayawalk.daemon.standalone.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;

/**
 * Tells neighbours which chunks are held, when that is news to them. Not thread-safe: confined to
 * the weights thread.
 */
final class AvailabilityAnnouncer {
    /** Shortest time between offers of small versions. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(100);

    /** Time after which an unchanged offer is repeated. */
    private static final Duration REPEAT = Duration.ofSeconds(2);

    /** Time for which a peer that offered is offered to. */
    private static final Duration MEMORY = Duration.ofSeconds(10);

    /** Bytes of an offer besides its bitmap. */
    private static final int FIXED_BYTES = 40;

    /** Bytes a second that offers may take. */
    private static final double MAX_BYTES_PER_SECOND = 16_000;

    /** Messages to peers. */
    private final ChunkTransport transport;

    /** Peers that offered or asked lately, with the time. */
    private final Map<HostId, Instant> contacts = new HashMap<>();

    /** Chunks that were last offered. */
    private BitSet lastHeld = new BitSet();

    /** When the last offer was sent. */
    private Instant lastAt = Instant.MIN;

    /**
     * Creates an exchange.
     *
     * @param transport messages to peers
     */
    AvailabilityAnnouncer(ChunkTransport transport) {
        this.transport = transport;
    }

    /**
     * Notes a peer that takes part in the version.
     *
     * @param peer peer that offered or asked
     * @param now present time
     * @return true if it was not known
     */
    boolean contact(HostId peer, Instant now) {
        return contacts.put(peer, now) == null;
    }

    /**
     * Sends offers if they are due.
     *
     * @param digest digest of the manifest
     * @param held chunks held
     * @param neighbours neighbours in the swarm
     * @param now present time
     */
    void offer(Digest digest, BitSet held, Collection<HostId> neighbours, Instant now) {
        contacts.values().removeIf(t -> t.plus(MEMORY).isBefore(now));
        Set<HostId> targets = new LinkedHashSet<>(neighbours);
        targets.addAll(contacts.keySet());
        Duration pause = held.equals(lastHeld) ? REPEAT : interval(held, targets.size());
        if (lastAt.plus(pause).isAfter(now)) {
            return;
        }
        lastHeld = held;
        lastAt = now;
        targets.forEach(t -> transport.offer(t, digest, held));
    }

    /**
     * Returns the pause between offers that keeps them within their share of the link.
     *
     * @param held chunks held
     * @param targets number of peers
     * @return pause
     */
    private static Duration interval(BitSet held, int targets) {
        double bytes = (double) targets * (FIXED_BYTES + held.length() / Byte.SIZE);
        long millis = (long) (bytes / MAX_BYTES_PER_SECOND * 1000);
        return millis < MIN_INTERVAL.toMillis() ? MIN_INTERVAL : Duration.ofMillis(millis);
    }
}
