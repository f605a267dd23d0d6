package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.papayawalk.core.id.DomainId;

/**
 * Addresses of the entries that this daemon may query. They come from direct contact and from lists
 * of peers and of the store. An entry that fails is not queried for a second; one that is neither
 * in contact nor listed for a minute is removed. The configured seeds are not kept here and never
 * expire. Not thread-safe: confined to the control thread.
 */
final class EntryDirectory {
    // Time after a contact or mention for which an entry counts as live.
    private static final Duration FRESH_FOR = Duration.ofSeconds(5);

    // Time after the last contact or mention at which an entry is removed.
    private static final Duration RETENTION = Duration.ofSeconds(60);

    private static final Duration FAILURE_BACKOFF = Duration.ofSeconds(1);

    private static final class KnownEntry {
        private DomainId domain;

        // Last contact with the entry or listing by a peer or the store.
        private Instant lastMentionAt;

        // Last reply from the entry or query by it.
        private Instant lastContactAt = Instant.MIN;

        private Instant backoffUntil = Instant.MIN;

        KnownEntry(DomainId domain, Instant now) {
            this.domain = domain;
            lastMentionAt = now;
        }
    }

    // Address of this daemon, never listed.
    private final String self;

    private final Map<String, KnownEntry> entries = new HashMap<>();

    /**
     * Creates an empty directory.
     *
     * @param self address of this daemon, which is never listed
     */
    EntryDirectory(String self) {
        this.self = self;
    }

    /**
     * Records that a peer or the store listed an entry. This is no proof that the entry runs.
     *
     * @param address address of an entry
     * @param domain failure domain of the entry
     * @param now present time
     */
    void recordMention(String address, DomainId domain, Instant now) {
        if (!address.equals(self)) {
            entries.computeIfAbsent(address, k -> new KnownEntry(domain, now)).lastMentionAt = now;
        }
    }

    /**
     * Records that an entry replied or sent a query, and ends its backoff.
     *
     * @param address address of the entry
     * @param domain failure domain of the entry
     * @param now present time
     */
    void recordContact(String address, DomainId domain, Instant now) {
        if (address.equals(self)) {
            return;
        }
        KnownEntry known = entries.computeIfAbsent(address, k -> new KnownEntry(domain, now));
        known.domain = domain;
        known.lastMentionAt = now;
        known.lastContactAt = now;
        known.backoffUntil = Instant.MIN;
    }

    /**
     * Records that an entry did not reply, which starts its backoff. Unknown addresses are ignored.
     *
     * @param address address of the entry
     * @param now present time
     */
    void recordFailure(String address, Instant now) {
        KnownEntry known = entries.get(address);
        if (known != null) {
            known.backoffUntil = now.plus(FAILURE_BACKOFF);
        }
    }

    /**
     * Removes expired entries and returns those that are not in backoff.
     *
     * @param now present time
     * @return addresses in no particular order
     */
    List<String> queryable(Instant now) {
        entries.values().removeIf(k -> k.lastMentionAt.plus(RETENTION).isBefore(now));
        List<String> list = new ArrayList<>();
        entries.forEach(
                (a, k) -> {
                    if (!k.backoffUntil.isAfter(now)) {
                        list.add(a);
                    }
                });
        return list;
    }

    /**
     * Returns the entries that were in contact recently. Only these are listed to peers, so that
     * the address of a stopped entry does not circulate.
     *
     * @param now present time
     * @return failure domain by address
     */
    Map<String, DomainId> recentlyInContact(Instant now) {
        return select(k -> k.lastContactAt.plus(FRESH_FOR).isAfter(now));
    }

    /**
     * Returns the entries that were in contact or mentioned recently.
     *
     * @param now present time
     * @return failure domain by address
     */
    Map<String, DomainId> alive(Instant now) {
        return select(k -> k.lastMentionAt.plus(FRESH_FOR).isAfter(now));
    }

    private Map<String, DomainId> select(Predicate<KnownEntry> condition) {
        Map<String, DomainId> selected = new HashMap<>();
        entries.forEach(
                (a, k) -> {
                    if (condition.test(k)) {
                        selected.put(a, k.domain);
                    }
                });
        return selected;
    }

    /**
     * Returns the failure domain of an entry.
     *
     * @param address address of the entry
     * @return failure domain, empty if the address is unknown
     */
    Optional<DomainId> domain(String address) {
        return Optional.ofNullable(entries.get(address)).map(k -> k.domain);
    }

    /**
     * Returns whether an entry is known to be in a failure domain.
     *
     * @param address address of the entry
     * @param domain failure domain
     * @return false also if the address is unknown
     */
    boolean inDomain(String address, DomainId domain) {
        KnownEntry known = entries.get(address);
        return known != null && known.domain.equals(domain);
    }
}
