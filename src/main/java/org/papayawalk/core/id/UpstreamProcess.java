package org.papayawalk.core.id;

/**
 * Identifies one process of an upstream. A restarted upstream may keep its id. Immutable.
 *
 * @param id id of the upstream
 * @param incarnation start of the process in milliseconds since the epoch
 */
public record UpstreamProcess(UpstreamId id, long incarnation) {
    @Override
    public String toString() {
        return id + "/" + incarnation;
    }
}
