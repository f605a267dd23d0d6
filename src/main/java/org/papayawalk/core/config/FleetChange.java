package org.papayawalk.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.papayawalk.core.id.FleetId;

/**
 * Difference of one fleet between two sheets. Immutable.
 *
 * @param fleet fleet that differs
 * @param kind how it differs
 * @param detail both rows, or the one that exists
 */
public record FleetChange(FleetId fleet, Kind kind, String detail) {

    /** Ways in which a fleet can differ. Immutable. */
    public enum Kind {
        /** Only the later sheet has the fleet. */
        ADDED,
        /** Only the earlier sheet has the fleet. */
        REMOVED,
        /** Both have the fleet, with other values. */
        CHANGED
    }

    /**
     * Compares two sheets.
     *
     * @param before rows of the earlier sheet
     * @param after rows of the later sheet
     * @return differences in the order of the fleets' names
     */
    public static List<FleetChange> between(List<FleetSpec> before, List<FleetSpec> after) {
        Map<FleetId, FleetSpec> old = byFleet(before);
        Map<FleetId, FleetSpec> now = byFleet(after);
        Map<FleetId, FleetChange> changes = new TreeMap<>();
        now.forEach(
                (fleet, row) -> {
                    FleetSpec earlier = old.get(fleet);
                    if (earlier == null) {
                        changes.put(fleet, new FleetChange(fleet, Kind.ADDED, row.toString()));
                    } else if (!earlier.equals(row)) {
                        String text = earlier + " -> " + row;
                        changes.put(fleet, new FleetChange(fleet, Kind.CHANGED, text));
                    }
                });
        old.forEach(
                (fleet, row) -> {
                    if (!now.containsKey(fleet)) {
                        changes.put(fleet, new FleetChange(fleet, Kind.REMOVED, row.toString()));
                    }
                });
        return new ArrayList<>(changes.values());
    }

    /**
     * Indexes rows by fleet.
     *
     * @param rows rows with distinct fleets
     * @return the rows by fleet
     */
    private static Map<FleetId, FleetSpec> byFleet(List<FleetSpec> rows) {
        Map<FleetId, FleetSpec> map = new TreeMap<>();
        rows.forEach(r -> map.put(r.fleet(), r));
        return map;
    }
}
