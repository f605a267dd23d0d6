package org.papayawalk.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.id.HostId;

/**
 * Joins the host list with the daemons' reports. A host that is still heard stays known although
 * the list has lost it, so a list that empties by mistake removes no working host. Not thread-safe:
 * confined to the control thread; {@link #snapshot()} may be shared.
 */
public final class Membership {
    /** Time for which a host that the list has lost is kept after its last report. */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    /** Members by host. */
    private final Map<HostId, Member> members = new HashMap<>();

    /** Highest incarnation heard, by host. */
    private final Map<HostId, Long> highestIncarnations = new HashMap<>();

    /**
     * Takes a list from the platform.
     *
     * @param list hosts listed now
     * @param now present time
     * @return false if the list was ignored because it is empty
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
     * Takes a report of a daemon. A report of an earlier incarnation is ignored.
     *
     * @param report report received
     * @return true if the report was taken
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
     * Records that contact with a host failed.
     *
     * @param host host that did not answer
     * @param now present time
     */
    public void recordFailure(HostId host, Instant now) {
        members.computeIfPresent(
                host, (h, m) -> new Member(m.record(), m.report(), Optional.of(now)));
    }

    /**
     * Returns all members.
     *
     * @return immutable list in no particular order
     */
    public List<Member> snapshot() {
        return List.copyOf(members.values());
    }

    /**
     * Tells whether a host that the list has lost is kept.
     *
     * @param member member to judge
     * @param now present time
     * @return true if it was heard within the retention
     */
    private static boolean isRetained(Member member, Instant now) {
        return member.report()
                .map(r -> Duration.between(r.receivedAt(), now).compareTo(RETENTION) < 0)
                .orElse(false);
    }

    /**
     * Adds or updates a listed host.
     *
     * @param record line of the list
     */
    private void merge(HostRecord record) {
        Member before = members.get(record.host());
        if (before == null || !before.record().address().equals(record.address())) {
            members.put(record.host(), new Member(record, Optional.empty(), Optional.empty()));
            return;
        }
        members.put(record.host(), new Member(record, before.report(), before.failedAt()));
    }
}
