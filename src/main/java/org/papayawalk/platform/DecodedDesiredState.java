package org.papayawalk.platform;

import java.util.List;
import org.papayawalk.core.desired.DesiredState;

/**
 * Desired state as decoded, and what of it cannot be used. Immutable.
 *
 * @param desired desired state without the parts that cannot be used
 * @param omittedCount number of routes, services and teams that were left out
 * @param omitted descriptions of the first of them, for the log
 */
public record DecodedDesiredState(DesiredState desired, int omittedCount, List<String> omitted) {
    /** Copies the descriptions. */
    public DecodedDesiredState {
        omitted = List.copyOf(omitted);
    }
}
