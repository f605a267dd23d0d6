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
 * Accepted sheet with its version, as stored in the table service: the component names are part of
 * the stored JSON. Immutable; equal versions have equal content.
 *
 * @param version version assigned when the sheet was accepted
 * @param changeId unique id of the change that created this version
 * @param fleets plans, one for each fleet
 */
public record Configuration(ConfigVersion version, String changeId, List<FleetPlan> fleets) {
    /** Configuration in force until the first sheet is accepted: version 0 without fleets. */
    public static final Configuration EMPTY = new Configuration(ConfigVersion.ZERO, "", List.of());

    /** Copies the list. */
    public Configuration {
        fleets = List.copyOf(fleets);
    }

    /**
     * Creates the configuration that succeeds this one.
     *
     * @param id unique id of the change
     * @param rows validated rows of the new sheet
     * @return configuration with the next version
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
     * Returns the plan of a fleet.
     *
     * @param fleet name of the fleet
     * @return its plan, empty if the sheet does not list the fleet
     */
    public Optional<FleetPlan> fleet(FleetId fleet) {
        return fleets.stream().filter(p -> p.spec().fleet().equals(fleet)).findFirst();
    }

    /**
     * Returns the plan of the model fleet that serves a model.
     *
     * @param name name of a fleet, or of a model that a fleet serves
     * @return plan of the first fleet that matches, empty if none does
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
     * @return one row for each fleet, in the order of the sheet
     */
    public List<FleetSpec> rows() {
        return fleets.stream().map(FleetPlan::spec).toList();
    }
}
