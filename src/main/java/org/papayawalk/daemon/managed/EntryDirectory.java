package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.papayawalk.core.id.DomainId;

/**
 * Addresses of the entries that this daemon knows of. An entry that fails is asked less often and
 * forgotten after a while; seeds are never forgotten. Not thread-safe: confined to the control
 * thread.
 */
final class EntryDirectory {
    /** Time after which an entry that was not heard is no longer told to others. */
    private static final Duration FRESH = Duration.ofSeconds(5);

    /** Time after which an entry that was not heard is forgotten. */
    private static final Duration MEMORY = Duration.ofSeconds(60);

    /** Pause before an entry that failed is asked again. */
    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(1);

    /** What is known of an entry. */
    private static final class KnownEntry {
        /** Failure domain that it stands in. */
        private DomainId domain;

        /** When it was last heard of at first or second hand. */
        private Instant mentionedAt;

        /** When it last answered or asked. */
        private Instant heardAt = Instant.MIN;

        /** Time before which it is not asked. */
        private Instant pausedUntil = Instant.MIN;

        /**
         * Creates the record of an entry.
         *
         * @param domain failure domain
         * @param now present time
         */
        KnownEntry(DomainId domain, Instant now) {
            this.domain = domain;
            mentionedAt = now;
        }
    }

    /** Own address, never listed. */
    private final String self;

    /** Entries by address. */
    private final Map<String, KnownEntry> entries = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param self address of this daemon
     */
    EntryDirectory(String self) {
        this.self = self;
    }

    /**
     * Takes an address at second hand.
     *
     * @param address address of an entry
     * @param domain failure domain of the entry
     * @param now present time
     */
    void mentioned(String address, DomainId domain, Instant now) {
        if (!address.equals(self)) {
            entries.computeIfAbsent(address, k -> new KnownEntry(domain, now)).mentionedAt = now;
        }
    }

    /**
     * Records that an entry answered or asked.
     *
     * @param address address of the entry
     * @param domain failure domain of the entry
     * @param now present time
     */
    void heard(String address, DomainId domain, Instant now) {
        if (address.equals(self)) {
            return;
        }
        KnownEntry known = entries.computeIfAbsent(address, k -> new KnownEntry(domain, now));
        known.domain = domain;
        known.mentionedAt = now;
        known.heardAt = now;
        known.pausedUntil = Instant.MIN;
    }

    /**
     * Records that an entry did not answer.
     *
     * @param address address of the entry
     * @param now present time
     */
    void failed(String address, Instant now) {
        KnownEntry known = entries.get(address);
        if (known != null) {
            known.pausedUntil = now.plus(FAILURE_PAUSE);
        }
    }

    /**
     * Returns the entries that may be asked.
     *
     * @param now present time
     * @return addresses
     */
    List<String> askable(Instant now) {
        entries.values().removeIf(k -> k.mentionedAt.plus(MEMORY).isBefore(now));
        List<String> list = new ArrayList<>();
        entries.forEach(
                (a, k) -> {
                    if (!k.pausedUntil.isAfter(now)) {
                        list.add(a);
                    }
                });
        return list;
    }

    /**
     * Returns the entries that were heard lately, to be told to others.
     *
     * @param now present time
     * @return failure domain by address
     */
    Map<String, DomainId> heard(Instant now) {
        return select(k -> k.heardAt.plus(FRESH).isAfter(now));
    }

    /**
     * Returns the entries that were heard lately, or mentioned by one who had heard them.
     *
     * @param now present time
     * @return failure domain by address
     */
    Map<String, DomainId> alive(Instant now) {
        return select(k -> k.mentionedAt.plus(FRESH).isAfter(now));
    }

    /**
     * Selects entries.
     *
     * @param wanted condition
     * @return failure domain by address
     */
    private Map<String, DomainId> select(Predicate<KnownEntry> wanted) {
        Map<String, DomainId> selected = new HashMap<>();
        entries.forEach(
                (a, k) -> {
                    if (wanted.test(k)) {
                        selected.put(a, k.domain);
                    }
                });
        return selected;
    }

    /**
     * Tells whether an entry stands in a failure domain.
     *
     * @param address address of the entry
     * @param domain failure domain
     * @return true if it is known to stand there
     */
    boolean inDomain(String address, DomainId domain) {
        KnownEntry known = entries.get(address);
        return known != null && known.domain.equals(domain);
    }
}
