package org.papayawalk.core.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.id.Digest;

/**
 * What a fleet is to serve and what it may still serve until its hosts have switched. Immutable.
 *
 * @param spec row of the sheet in force
 * @param replaced digests of earlier rows, latest first; hosts on them may take requests while the
 *     fleet switches
 */
public record FleetPlan(FleetSpec spec, List<Digest> replaced) {
    /** Earlier digests that a plan remembers. */
    private static final int MAX_REPLACED = 3;

    /**
     * Copies the list.
     *
     * @param spec row of the sheet
     * @param replaced earlier digests
     */
    public FleetPlan {
        replaced = List.copyOf(replaced);
    }

    /**
     * Makes the plan for a row that follows an earlier plan.
     *
     * @param spec new row
     * @param before plan that the row replaces, or null if the fleet is new
     * @return the plan, which remembers the digests that hosts may still serve
     */
    public static FleetPlan from(FleetSpec spec, FleetPlan before) {
        if (before == null) {
            return new FleetPlan(spec, List.of());
        }
        List<Digest> earlier = new ArrayList<>();
        if (before.spec.digest().isPresent()) {
            earlier.add(before.spec.digest());
        }
        earlier.addAll(before.replaced);
        earlier.removeIf(d -> d.equals(spec.digest()));
        List<Digest> kept = earlier.stream().distinct().limit(MAX_REPLACED).toList();
        return new FleetPlan(spec, kept);
    }

    /**
     * Tells whether a host that serves a digest may take requests of this fleet.
     *
     * @param digest digest that the host's upstream reports
     * @return true for the wanted digest, for a replaced one, and for every plain service
     */
    @JsonIgnore
    public boolean accepts(Digest digest) {
        if (spec.kind() == UpstreamKind.SERVICE) {
            return true;
        }
        return digest.isPresent() && (digest.equals(spec.digest()) || replaced.contains(digest));
    }
}
