package org.papayawalk.daemon.managed;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.log.Event;
import org.papayawalk.platform.StoreCodec;

/**
 * Failure domains whose upstreams get no requests, because the operator evacuates them. Not
 * thread-safe: confined to the control thread.
 */
final class Evacuations {
    private final Set<DomainId> domains = new HashSet<>();

    /**
     * Applies a row, whatever its content: it evacuates its failure domain until it is removed.
     * Ignores a row whose key holds no valid name.
     *
     * @param row row of the operator's table whose key is one of an evacuation
     * @param source where the row comes from, for the log
     */
    void apply(TableRecord row, String source) {
        Optional<DomainId> domain = StoreCodec.domainOfEvacuationKey(row.key());
        if (domain.isEmpty()) {
            Event.named("operator-row-unreadable")
                    .with("key", row.key())
                    .with("source", source)
                    .with("reason", "the key holds no name of a failure domain")
                    .warn();
            return;
        }
        boolean changed = row.removed() ? domains.remove(domain.get()) : domains.add(domain.get());
        if (changed) {
            Event.named(row.removed() ? "domain-taken-back" : "domain-evacuated")
                    .with("domain", domain.get())
                    .with("source", source)
                    .info();
        }
    }

    /**
     * Returns the failure domains.
     *
     * @return copy of the set
     */
    Set<DomainId> domains() {
        return Set.copyOf(domains);
    }
}
