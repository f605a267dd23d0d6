package org.papayawalk.core.config;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.TeamId;

/**
 * One row of the sheet: what a fleet serves and within which limits. Immutable.
 *
 * @param fleet name of the fleet
 * @param kind kind of its upstreams
 * @param model name of the model, empty for a service
 * @param adapter name of the adapter, may be empty
 * @param version name of the version, empty for a service
 * @param digest digest of the version's manifest, none for a service
 * @param teamWeights shares of the teams; a team not named has weight 1
 * @param maxInFlight requests that one upstream runs at once, at least 1
 * @param maxQueue requests that wait at one upstream, at least 0
 * @param maxUnavailable hosts of one failure domain that may switch at once, at least 1
 * @param checksFencing whether the upstreams refuse an order with an old fencing number
 * @param nonIdempotent calls that may run at most once
 */
public record FleetSpec(
        FleetId fleet,
        UpstreamKind kind,
        String model,
        String adapter,
        String version,
        Digest digest,
        Map<TeamId, Integer> teamWeights,
        int maxInFlight,
        int maxQueue,
        int maxUnavailable,
        boolean checksFencing,
        List<CallPattern> nonIdempotent) {

    /**
     * Copies the collections.
     *
     * @param fleet name of the fleet
     * @param kind kind of its upstreams
     * @param model name of the model
     * @param adapter name of the adapter
     * @param version name of the version
     * @param digest digest of the manifest
     * @param teamWeights shares of the teams
     * @param maxInFlight requests at once
     * @param maxQueue requests that wait
     * @param maxUnavailable hosts that may switch at once
     * @param checksFencing whether fencing numbers are checked
     * @param nonIdempotent calls that may run at most once
     */
    public FleetSpec {
        teamWeights = new TreeMap<>(teamWeights);
        nonIdempotent = List.copyOf(nonIdempotent);
    }

    /**
     * Returns the share of a team.
     *
     * @param team team to look up
     * @return its weight, at least 1
     */
    public int weightOf(TeamId team) {
        return teamWeights.getOrDefault(team, 1);
    }

    /**
     * Tells whether a call may run at most once.
     *
     * @param method HTTP method
     * @param path path below the service
     * @return true if the sheet lists the call
     */
    public boolean isNonIdempotent(String method, String path) {
        return nonIdempotent.stream().anyMatch(p -> p.matches(method, path));
    }
}
