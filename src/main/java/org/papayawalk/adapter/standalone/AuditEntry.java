package org.papayawalk.adapter.standalone;

import java.time.Instant;
import java.util.List;
import org.papayawalk.core.config.FleetChange;
import org.papayawalk.core.id.ConfigVersion;

/**
 * Entry of the audit trail. Immutable.
 *
 * @param version version that the change made
 * @param base version that the operator saw
 * @param changeId unique id of the change
 * @param operator who made it
 * @param at when, by the operator's clock
 * @param changes difference by fleet
 */
public record AuditEntry(
        ConfigVersion version,
        ConfigVersion base,
        String changeId,
        String operator,
        Instant at,
        List<FleetChange> changes) {}
