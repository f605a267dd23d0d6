package org.papayawalk.core.suspect;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.id.PromptPartId;

/**
 * Part of prompts that crashes upstreams for some time, and the requests that carry it. Immutable.
 *
 * @param part the part
 * @param kind kind of the requests
 * @param caller caller of the requests
 * @param position place of the part among the others, from 0
 * @param perSecond requests per second beside those of sound traffic
 * @param from when it begins to crash upstreams
 * @param until when the requests end
 * @param companions other parts of each request; empty if they are those of any sound request
 * @param answeredBefore whether requests with the part are answered before
 */
record BadPart(
        PromptPartId part,
        int kind,
        String caller,
        int position,
        double perSecond,
        Instant from,
        Instant until,
        List<PromptPartId> companions,
        boolean answeredBefore) {

    /**
     * Returns a request with the part.
     *
     * @param sound sound request that it resembles
     * @return request that shares the other parts
     */
    PartsRequest request(PartsRequest sound) {
        List<PromptPartId> parts = new ArrayList<>(companions.isEmpty() ? sound.parts : companions);
        parts.remove(part);
        parts.add(Math.min(position, parts.size()), part);
        return new PartsRequest(kind, caller, List.copyOf(parts), false);
    }

    /**
     * Returns whether an upstream that begins to answer a request crashes.
     *
     * @param request request
     * @param now present time
     * @return true if the request carries the part and the part is bad by then
     */
    boolean crashes(PartsRequest request, Instant now) {
        return !now.isBefore(from) && request.parts.contains(part);
    }
}
