package org.papayawalk.daemon.swarm;

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
 * Announces to neighbors and recent contacts which chunks this host holds. Announces changes at a
 * limited rate and refreshes an unchanged announcement periodically.
 *
 * <p>Not thread-safe: confined to the weights thread.
 */
final class AvailabilityAnnouncer {
    /** Minimum interval between announcements while the set of chunks changes. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(100);

    /** Interval after which an unchanged announcement is repeated. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(2);

    /** Time for which announcements go to a peer after its last announcement or chunk request. */
    private static final Duration CONTACT_TTL = Duration.ofSeconds(10);

    /** Size of an announcement besides its bitmap. */
    private static final int MESSAGE_OVERHEAD_BYTES = 40;

    /** Bandwidth limit of all announcements of this host. */
    private static final double MAX_BYTES_PER_SECOND = 16_000;

    private final ChunkTransport transport;

    /** Time of the last announcement or chunk request of each peer. */
    private final Map<HostId, Instant> contacts = new HashMap<>();

    private BitSet lastAnnounced = new BitSet();

    private BitSet lastFetches = new BitSet();

    private Instant lastAnnouncedAt = Instant.MIN;

    /**
     * Creates an announcer without contacts.
     *
     * @param transport sends announcements to peers
     */
    AvailabilityAnnouncer(ChunkTransport transport) {
        this.transport = transport;
    }

    /**
     * Records that a peer announced its chunks or requested a chunk.
     *
     * @param peer peer that is downloading the version
     * @param now present time
     * @return true if the peer was not a contact before
     */
    boolean recordContact(HostId peer, Instant now) {
        return contacts.put(peer, now) == null;
    }

    /**
     * Records an announcement of a peer, and answers that of a new contact.
     *
     * @param peer peer that announced its chunks
     * @param digest digest of the manifest
     * @param held indexes of the chunks held
     * @param fetches indexes of the chunks that are being received from the origin
     * @param now present time
     */
    void answer(HostId peer, Digest digest, BitSet held, BitSet fetches, Instant now) {
        if (recordContact(peer, now)) {
            transport.announceChunks(peer, digest, held, fetches);
        }
    }

    /**
     * Sends announcements to neighbors and contacts if the interval since the last ones has passed.
     *
     * @param digest digest of the manifest
     * @param held indexes of the chunks held
     * @param fetches indexes of the chunks that are being received from the origin
     * @param neighbors neighbors in the swarm
     * @param now present time
     */
    void announceIfDue(
            Digest digest, BitSet held, BitSet fetches, Collection<HostId> neighbors, Instant now) {
        contacts.values().removeIf(t -> t.plus(CONTACT_TTL).isBefore(now));
        Set<HostId> targets = new LinkedHashSet<>(neighbors);
        targets.addAll(contacts.keySet());
        boolean unchanged = held.equals(lastAnnounced) && fetches.equals(lastFetches);
        Duration pause = unchanged ? REFRESH_INTERVAL : interval(held, targets.size());
        if (lastAnnouncedAt.plus(pause).isAfter(now)) {
            return;
        }
        lastAnnounced = held;
        lastFetches = fetches;
        lastAnnouncedAt = now;
        targets.forEach(t -> transport.announceChunks(t, digest, held, fetches));
    }

    // Returns the interval that keeps announcements within their bandwidth limit.
    private static Duration interval(BitSet held, int targets) {
        double bytes = (double) targets * (MESSAGE_OVERHEAD_BYTES + held.length() / Byte.SIZE);
        long millis = (long) (bytes / MAX_BYTES_PER_SECOND * 1000);
        return millis < MIN_INTERVAL.toMillis() ? MIN_INTERVAL : Duration.ofMillis(millis);
    }
}
