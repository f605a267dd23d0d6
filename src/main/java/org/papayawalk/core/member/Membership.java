package org.papayawalk.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.id.HostId;

/**
 * Joins the host list with the reports of the daemons. A host that is missing from a new list is
 * kept while its daemon reports, and an empty list is ignored, so that a faulty list does not
 * remove working hosts. Not thread-safe: confined to the control thread; the lists that {@link
 * #snapshot()} returns may be shared.
 */
public final class Membership {
    /** Time after its last report for which a host that is no longer listed is kept. */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    private final Map<HostId, Member> members = new HashMap<>();

    // Highest incarnation reported by each host; kept when the member is removed.
    private final Map<HostId, Long> highestIncarnations = new HashMap<>();

    /**
     * Replaces the host list. Hosts that are no longer listed are removed unless they reported
     * recently. A host with a new address loses its report and its failure.
     *
     * @param list present list from the platform
     * @param now present time
     * @return false if the list was ignored because it is empty although hosts are known
     */
    public boolean updateHostList(List<HostRecord> list, Instant now) {
        if (list.isEmpty() && !members.isEmpty()) {
            return false;
        }
        Map<HostId, HostRecord> listed = new HashMap<>();
        list.forEach(r -> listed.put(r.host(), r));
        members.values().removeIf(m -> !listed.containsKey(m.host()) && !isRetained(m, now));
        listed.values().forEach(this::merge);
        return true;
    }

    /**
     * Records a report of a daemon and clears the failure of its host. Reports of unknown hosts and
     * of earlier incarnations are ignored.
     *
     * @param report received report
     * @return true if the report was recorded
     */
    public boolean recordReport(PeerReport report) {
        HostId host = report.host();
        if (report.incarnation() < highestIncarnations.getOrDefault(host, Long.MIN_VALUE)) {
            return false;
        }
        Member member = members.get(host);
        if (member == null) {
            return false;
        }
        highestIncarnations.put(host, report.incarnation());
        members.put(host, new Member(member.record(), Optional.of(report), Optional.empty()));
        return true;
    }

    /**
     * Records that a heartbeat to a host failed. Has no effect if the host is unknown.
     *
     * @param host host that did not respond
     * @param now present time
     */
    public void recordFailure(HostId host, Instant now) {
        members.computeIfPresent(
                host, (h, m) -> new Member(m.record(), m.report(), Optional.of(now)));
    }

    /**
     * Returns a snapshot of all members.
     *
     * @return immutable list, in no particular order
     */
    public List<Member> snapshot() {
        return List.copyOf(members.values());
    }

    private static boolean isRetained(Member member, Instant now) {
        return member.report()
                .map(r -> Duration.between(r.receivedAt(), now).compareTo(RETENTION) < 0)
                .orElse(false);
    }

    // The report and the failure of a host apply to its present address only.
    private void merge(HostRecord record) {
        Member previous = members.get(record.host());
        if (previous == null || !previous.record().address().equals(record.address())) {
            members.put(record.host(), new Member(record, Optional.empty(), Optional.empty()));
            return;
        }
        members.put(record.host(), new Member(record, previous.report(), previous.failedAt()));
    }
}
