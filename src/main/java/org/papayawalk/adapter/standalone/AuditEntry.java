package org.papayawalk.adapter.standalone;

import java.time.Instant;
import java.util.List;
import org.papayawalk.core.config.FleetChange;
import org.papayawalk.core.id.ConfigVersion;

/**
 * Entry of the audit trail, stored as JSON. Immutable.
 *
 * @param version version that the change created
 * @param base version on which the change is based
 * @param changeId unique id of the change
 * @param operator name of the operator who made the change
 * @param at time of the change, by the clock of the operator's machine
 * @param changes differences by fleet
 */
public record AuditEntry(
        ConfigVersion version,
        ConfigVersion base,
        String changeId,
        String operator,
        Instant at,
        List<FleetChange> changes) {}
