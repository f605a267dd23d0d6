package org.papayawalk.daemon.standalone.entry;

import java.time.Instant;
import java.util.List;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.core.admit.Priority;
import org.papayawalk.core.config.FleetPlan;
import org.papayawalk.core.id.TeamId;

/**
 * Checked request of a caller. Immutable by convention: the body is not changed.
 *
 * @param plan plan of the fleet that it is for
 * @param team team that sends it
 * @param priority its priority
 * @param deadline when the caller gives up
 * @param method HTTP method towards the upstream
 * @param path path towards the upstream
 * @param headers headers towards the upstream
 * @param body body, may be empty
 * @param fingerprint digest of team, method, path and body
 * @param affinityKey key for prefix affinity, empty for none
 * @param safe whether it may be sent again after it was dispatched
 * @param idempotencyKey key of a non-idempotent call, empty for other calls
 */
record ParsedRequest(
        FleetPlan plan,
        TeamId team,
        Priority priority,
        Instant deadline,
        String method,
        String path,
        List<HttpHeader> headers,
        byte[] body,
        String fingerprint,
        String affinityKey,
        boolean safe,
        String idempotencyKey) {}
