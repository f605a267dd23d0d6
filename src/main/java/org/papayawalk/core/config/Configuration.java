package org.papayawalk.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.id.FleetId;

/**
 * Accepted sheet with its version. Immutable; equal versions have equal content.
 *
 * @param version version given at acceptance
 * @param changeId unique id of the change that made it
 * @param fleets plans, one for each fleet
 */
public record Configuration(ConfigVersion version, String changeId, List<FleetPlan> fleets) {
    /** Configuration before the first accepted sheet. */
    public static final Configuration EMPTY = new Configuration(ConfigVersion.ZERO, "", List.of());

    /**
     * Copies the list.
     *
     * @param version version given at acceptance
     * @param changeId id of the change
     * @param fleets plans
     */
    public Configuration {
        fleets = List.copyOf(fleets);
    }

    /**
     * Makes the configuration that follows this one.
     *
     * @param id unique id of the change
     * @param rows checked rows of the new sheet
     * @return the next configuration
     */
    public Configuration next(String id, List<FleetSpec> rows) {
        Map<FleetId, FleetPlan> before =
                fleets.stream()
                        .collect(Collectors.toMap(p -> p.spec().fleet(), Function.identity()));
        List<FleetPlan> plans = new ArrayList<>();
        for (FleetSpec row : rows) {
            plans.add(FleetPlan.from(row, before.get(row.fleet())));
        }
        return new Configuration(version.next(), id, plans);
    }

    /**
     * Looks up a fleet by its name.
     *
     * @param fleet name of the fleet
     * @return its plan, or empty if the sheet does not list it
     */
    public Optional<FleetPlan> fleet(FleetId fleet) {
        return fleets.stream().filter(p -> p.spec().fleet().equals(fleet)).findFirst();
    }

    /**
     * Looks up the fleet that serves a model.
     *
     * @param name name of a fleet, or of a model that a fleet serves
     * @return its plan, or empty if no model fleet has the name
     */
    public Optional<FleetPlan> forModel(String name) {
        return fleets.stream()
                .filter(p -> p.spec().kind() == UpstreamKind.MODEL)
                .filter(p -> name.equals(p.spec().fleet().value()) || name.equals(p.spec().model()))
                .findFirst();
    }

    /**
     * Returns the rows of the sheet.
     *
     * @return one row for each fleet
     */
    public List<FleetSpec> rows() {
        return fleets.stream().map(FleetPlan::spec).toList();
    }
}
