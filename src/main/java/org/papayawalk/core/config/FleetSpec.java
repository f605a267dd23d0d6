package org.papayawalk.core.config;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.TeamId;

/**
 * One row of the sheet: version and limits of a fleet. The component names are part of the stored
 * JSON, and the text form is printed and stored as the difference of two sheets. Immutable.
 *
 * @param fleet name of the fleet
 * @param kind kind of its upstreams
 * @param model name of the model, not empty for a model fleet
 * @param adapter name of the adapter, may be empty
 * @param version name of the version, not empty for a model fleet
 * @param digest digest of the version's manifest, none for a service
 * @param teamWeights scheduling weights of the teams; a team that is not listed has weight 1
 * @param maxInFlight requests that one upstream runs concurrently, at least 1
 * @param maxQueue requests that may be queued for one upstream, at least 0
 * @param maxUnavailable hosts of one failure domain that may switch versions at the same time, at
 *     least 1
 * @param checksFencing whether the upstreams refuse a switch command with an outdated fencing
 *     number
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

    /** Copies the collections. */
    public FleetSpec {
        teamWeights = new TreeMap<>(teamWeights);
        nonIdempotent = List.copyOf(nonIdempotent);
    }

    /**
     * Returns the scheduling weight of a team.
     *
     * @param team name of the team
     * @return its weight, 1 if the row does not list the team
     */
    public int weightOf(TeamId team) {
        return teamWeights.getOrDefault(team, 1);
    }

    /**
     * Returns whether a call may run at most once.
     *
     * @param method HTTP method
     * @param path path below the service
     * @return true if a pattern of the row matches the call
     */
    public boolean isNonIdempotent(String method, String path) {
        return nonIdempotent.stream().anyMatch(p -> p.matches(method, path));
    }
}
