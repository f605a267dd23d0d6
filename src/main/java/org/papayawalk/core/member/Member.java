package org.papayawalk.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.id.HostId;

/**
 * A host with all that is known of it. Immutable.
 *
 * @param record line of the host list
 * @param report last report of its daemon, or empty if none was heard
 * @param failedAt when contact with it last failed without a later report, or empty
 */
public record Member(HostRecord record, Optional<PeerReport> report, Optional<Instant> failedAt) {
    /** Silence after which a daemon counts as gone. */
    public static final Duration REPORT_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Returns the name of the host.
     *
     * @return host of the record
     */
    public HostId host() {
        return record.host();
    }

    /**
     * Tells whether the daemon was heard lately.
     *
     * @param now present time
     * @return true if its last report is within the silence limit
     */
    public boolean reportedRecently(Instant now) {
        return report.isPresent()
                && Duration.between(report.get().receivedAt(), now).compareTo(REPORT_TIMEOUT) <= 0;
    }

    /**
     * Tells whether the host is expected to answer: heard lately, or listed and never refused.
     *
     * @param now present time
     * @return false if contact failed, or if it was heard once and is silent now
     */
    public boolean presumedAlive(Instant now) {
        if (reportedRecently(now)) {
            return true;
        }
        return report.isEmpty() && failedAt.isEmpty();
    }

    /**
     * Tells whether the host is to get no new work.
     *
     * @return true if the list or the daemon itself says that it leaves
     */
    public boolean leaving() {
        return record.state() == HostState.LEAVING
                || report.map(PeerReport::draining).orElse(false);
    }
}
