package org.papayawalk.daemon.standalone.entry;

import java.time.Instant;
import java.util.List;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.core.admit.Priority;
import org.papayawalk.core.config.FleetPlan;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.TeamId;

/**
 * Valid request of a caller. Immutable by convention: the body is not modified.
 *
 * @param plan plan of the fleet that serves the request
 * @param team team that sends the request
 * @param priority priority in the admission queues
 * @param deadline time after which the caller no longer waits
 * @param method HTTP method for the upstream
 * @param path path for the upstream
 * @param headers headers for the upstream
 * @param body body, possibly empty
 * @param fingerprint digest of team, method, path and body
 * @param affinityKey key for prefix cache affinity, or empty for none
 * @param retryable whether the request may be dispatched again after an upstream may have run it
 * @param idempotencyKey key of a non-idempotent call, or empty for other calls
 * @param promptParts parts of its prompt that other requests may share, empty if it is not a chat
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
        boolean retryable,
        String idempotencyKey,
        List<PromptPartId> promptParts) {}
