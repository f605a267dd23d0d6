package org.papayawalk.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.id.HostId;

/**
 * Known host: its record in the host list and the last report of its daemon. Immutable.
 *
 * @param record record of the host list
 * @param report last report received from the daemon, empty if none was received
 * @param failedAt time of the last failed heartbeat, empty if a report was received after it or no
 *     heartbeat failed
 */
public record Member(HostRecord record, Optional<PeerReport> report, Optional<Instant> failedAt) {
    /** Age of the last report above which a daemon is presumed failed. */
    public static final Duration REPORT_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Returns the name of the host.
     *
     * @return name according to the host list
     */
    public HostId host() {
        return record.host();
    }

    /**
     * Returns whether a report was received recently.
     *
     * @param now present time
     * @return true if the last report is not older than {@link #REPORT_TIMEOUT}
     */
    public boolean reportedRecently(Instant now) {
        return report.isPresent()
                && Duration.between(report.get().receivedAt(), now).compareTo(REPORT_TIMEOUT) <= 0;
    }

    /**
     * Returns whether the host is expected to respond. A listed host without any report is presumed
     * alive until a heartbeat to it fails.
     *
     * @param now present time
     * @return true if a report was received recently, or if there is neither a report nor a failure
     */
    public boolean presumedAlive(Instant now) {
        if (reportedRecently(now)) {
            return true;
        }
        return report.isEmpty() && failedAt.isEmpty();
    }

    /**
     * Returns whether the host is to receive no new work.
     *
     * @return true if the host list states that it is leaving, or its daemon that it is draining
     */
    public boolean leaving() {
        return record.state() == HostState.LEAVING
                || report.map(PeerReport::draining).orElse(false);
    }
}
