package org.papayawalk.core.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.id.Digest;

/**
 * Wanted version of a fleet, and earlier versions that its hosts may serve until they have
 * switched. The component names are part of the stored JSON. Immutable.
 *
 * @param spec row of the sheet in force
 * @param replaced digests of earlier rows, latest first, at most 3; hosts that serve one of them
 *     may receive requests while the fleet switches
 */
public record FleetPlan(FleetSpec spec, List<Digest> replaced) {
    private static final int MAX_REPLACED = 3;

    /** Copies the list. */
    public FleetPlan {
        replaced = List.copyOf(replaced);
    }

    /**
     * Creates the plan of a fleet from its row in a new sheet and its previous plan.
     *
     * @param spec row of the fleet in the new sheet
     * @param previous plan that the row replaces, null if the fleet is new
     * @return plan with the digests that hosts may still serve
     */
    public static FleetPlan from(FleetSpec spec, FleetPlan previous) {
        if (previous == null) {
            return new FleetPlan(spec, List.of());
        }
        List<Digest> earlier = new ArrayList<>();
        if (previous.spec.digest().isPresent()) {
            earlier.add(previous.spec.digest());
        }
        earlier.addAll(previous.replaced);
        earlier.removeIf(d -> d.equals(spec.digest()));
        List<Digest> kept = earlier.stream().distinct().limit(MAX_REPLACED).toList();
        return new FleetPlan(spec, kept);
    }

    /**
     * Returns whether a host that serves a digest may receive requests for this fleet.
     *
     * @param digest digest that the host's upstream reports
     * @return true for the wanted digest and the replaced ones; always true for a plain service
     */
    @JsonIgnore
    public boolean accepts(Digest digest) {
        if (spec.kind() == UpstreamKind.SERVICE) {
            return true;
        }
        return digest.isPresent() && (digest.equals(spec.digest()) || replaced.contains(digest));
    }
}
