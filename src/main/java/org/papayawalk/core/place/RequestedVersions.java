package org.papayawalk.core.place;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Versions of each model's weights that the operator requested. Their numbers increase. Bounded.
 * Not thread-safe.
 */
public final class RequestedVersions {
    private static final int MAX_VERSIONS_PER_MODEL = 16;

    /** Requested versions by model, the newest last. */
    private final Map<String, List<RequestedVersion>> byModel = new HashMap<>();

    /**
     * Adds a version, unless it is not newer than the last one requested.
     *
     * @param model name of the model
     * @param number number of the version
     * @param requestedBy time by which it was requested
     * @return whether it was added
     */
    public boolean add(String model, int number, Instant requestedBy) {
        List<RequestedVersion> known = byModel.getOrDefault(model, List.of());
        if (!known.isEmpty() && known.get(known.size() - 1).number() >= number) {
            return false;
        }
        List<RequestedVersion> requested = new ArrayList<>(known);
        requested.add(new RequestedVersion(number, requestedBy));
        int from = Math.max(0, requested.size() - MAX_VERSIONS_PER_MODEL);
        byModel.put(model, List.copyOf(requested.subList(from, requested.size())));
        return true;
    }

    /**
     * Corrects the time of a known version, if it was requested earlier than assumed.
     *
     * @param model name of the model
     * @param number number of the version
     * @param requestedBy time by which it was requested
     * @return whether the time has changed
     */
    public boolean correctTime(String model, int number, Instant requestedBy) {
        List<RequestedVersion> known = byModel.getOrDefault(model, List.of());
        List<RequestedVersion> dated = new ArrayList<>();
        for (RequestedVersion v : known) {
            boolean earlier = v.number() == number && requestedBy.isBefore(v.receivedAt());
            dated.add(earlier ? new RequestedVersion(number, requestedBy) : v);
        }
        if (dated.equals(known)) {
            return false;
        }
        byModel.put(model, List.copyOf(dated));
        return true;
    }

    /**
     * Returns the requested versions.
     *
     * @return copy, versions by model, the newest last
     */
    public Map<String, List<RequestedVersion>> byModel() {
        return Map.copyOf(byModel);
    }
}
