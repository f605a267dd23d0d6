package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.UpstreamId;

/**
 * Keeps requests in the failure domain of their entry unless leaving it pays, see {@link
 * DomainPreference}. Answers the load of a domain whose engines are too few, slow, cold or refused
 * to it for a while, beside others with room.
 *
 * <p>The entries of a domain share its engines among them, as in {@link SharedEngines}, and each
 * engine of another domain is left to fewer of them, so that the entries of all domains together
 * stay few enough for its load reports. If all engines of this entry are full, it uses no others,
 * of which it has no reports. The entries of a domain without a usable engine share those of the
 * others, so that their callers find as much room as others do. Engines that state no pace are left
 * to another rule, unless the deployment asks for this one. Not thread-safe: confined to the event
 * loop thread.
 */
public final class LocalEngines implements PlacementRule {
    /** Entries of a domain that share an engine of their domain. */
    private static final int NEAR_ENTRIES_PER_ENGINE = 6;

    /** Entries of a domain that share an engine of another domain. */
    private static final int FAR_ENTRIES_PER_ENGINE = 1;

    /** The same while the domain of these entries has no usable engine. */
    private static final int GUEST_ENTRIES_PER_ENGINE = 4;

    private final PlacementRule rule;

    private final PlacementRule otherwise;

    private final DomainPreference preference;

    private final DomainId domain;

    private final boolean always;

    private final RendezvousRanks ranks;

    private final Function<PlacementCandidate, Duration> delay;

    /**
     * Creates a rule.
     *
     * @param rule chooses among the engines of a domain, or of all others
     * @param otherwise rule for engines that state no pace
     * @param preference decides whether leaving the domain pays
     * @param self this entry
     * @param domain failure domain of this entry
     * @param always whether the rule also holds for engines that state no pace
     * @param nearEntries supplies the other running entries of this domain
     * @param delay returns the time that a message to an engine needs
     */
    public LocalEngines(
            PlacementRule rule,
            PlacementRule otherwise,
            DomainPreference preference,
            HostId self,
            DomainId domain,
            boolean always,
            Supplier<Set<HostId>> nearEntries,
            Function<PlacementCandidate, Duration> delay) {
        this.rule = rule;
        this.otherwise = otherwise;
        this.preference = preference;
        this.domain = domain;
        this.always = always;
        this.ranks = new RendezvousRanks(self, nearEntries);
        this.delay = delay;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        if (!always && candidates.stream().noneMatch(c -> c.load().isPaced())) {
            return otherwise.choose(candidates, tried, now);
        }
        List<PlacementCandidate> near = new ArrayList<>();
        List<PlacementCandidate> far = new ArrayList<>();
        for (PlacementCandidate c : candidates) {
            boolean usable = c.load().isSelectable(now) && !tried.contains(c.upstream().id());
            if (usable) {
                (c.upstream().domain().equals(domain) ? near : far).add(c);
            }
        }
        if (near.isEmpty()) {
            return rule.choose(ranks.own(far, GUEST_ENTRIES_PER_ENGINE), tried, now);
        }
        Optional<PlacementCandidate> nearest =
                rule.choose(ranks.own(near, NEAR_ENTRIES_PER_ENGINE), tried, now);
        Optional<PlacementCandidate> elsewhere =
                rule.choose(ranks.own(far, FAR_ENTRIES_PER_ENGINE), tried, now);
        if (nearest.isEmpty() || elsewhere.isEmpty()) {
            return nearest.or(() -> elsewhere);
        }
        return leaves(nearest.get(), elsewhere.get(), now) ? elsewhere : nearest;
    }

    private boolean leaves(PlacementCandidate near, PlacementCandidate far, Instant now) {
        Duration longer = delay.apply(far).minus(delay.apply(near));
        Duration way = longer.isNegative() ? Duration.ZERO : longer;
        return preference.leaves(cost(near, now), cost(far, now), way);
    }

    private double cost(PlacementCandidate candidate, Instant now) {
        return preference.cost(
                candidate.load().expectedInFlight(now),
                candidate.upstream().slots(),
                candidate.load().pendingPrefill(),
                candidate.load().pace(now));
    }
}
