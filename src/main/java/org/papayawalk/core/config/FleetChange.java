package org.papayawalk.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.papayawalk.core.id.FleetId;

/**
 * Difference of one fleet between two sheets, as printed and as stored in the audit trail.
 * Immutable.
 *
 * @param fleet name of the fleet
 * @param kind kind of difference
 * @param detail text of the old and the new row, or of the only one
 */
public record FleetChange(FleetId fleet, Kind kind, String detail) {

    /** Kinds of difference. Immutable. */
    public enum Kind {
        /** Only the new sheet lists the fleet. */
        ADDED,
        /** Only the old sheet lists the fleet. */
        REMOVED,
        /** Both sheets list the fleet, with different values. */
        CHANGED
    }

    /**
     * Compares two sheets.
     *
     * @param before rows of the old sheet
     * @param after rows of the new sheet
     * @return differences, ordered by the names of the fleets; empty if the sheets are equal
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

    private static Map<FleetId, FleetSpec> byFleet(List<FleetSpec> rows) {
        Map<FleetId, FleetSpec> map = new TreeMap<>();
        rows.forEach(r -> map.put(r.fleet(), r));
        return map;
    }
}
