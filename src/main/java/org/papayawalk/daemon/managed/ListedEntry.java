package org.papayawalk.daemon.managed;

import java.util.Optional;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.id.DomainId;

/**
 * Entry as a peer or a row of the store lists it. The address can be connected to. Immutable.
 *
 * @param address IP address and port for other daemons
 * @param domain failure domain of the entry
 */
record ListedEntry(String address, DomainId domain) {
    private static final int WORDS_OF_ROW = 2;

    /**
     * Checks what a peer listed.
     *
     * @param address address of an entry
     * @param domain name of its failure domain
     * @return entry, empty if the address or the name is malformed
     */
    static Optional<ListedEntry> of(String address, String domain) {
        if (!Addresses.isIpAndPort(address)) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ListedEntry(address, new DomainId(domain)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Decodes a row of the store.
     *
     * @param row address and failure domain, separated by a blank
     * @return entry, empty if the row is malformed
     */
    static Optional<ListedEntry> ofRow(String row) {
        String[] words = row.split(" ", WORDS_OF_ROW + 1);
        return words.length == WORDS_OF_ROW ? of(words[0], words[1]) : Optional.empty();
    }

    /**
     * Encodes the row of the store.
     *
     * @return address and failure domain, separated by a blank
     */
    String toRow() {
        return address + " " + domain;
    }
}
