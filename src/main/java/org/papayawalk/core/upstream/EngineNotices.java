package org.papayawalk.core.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Newest notice of each engine's agent. A notice reaches an entry before the engine's registration
 * does, and also while the store is away or the entry is cut off from it. Versions of one engine
 * process only rise, so of notice and registration the higher version counts. Answers the load of a
 * new version: an entry that does not know which engines load sends them requests that they refuse.
 * Not thread-safe: confined to the control thread.
 */
public final class EngineNotices {
    /** Time after which a load that has neither ended nor been withdrawn counts as failed. */
    public static final Duration MAX_LOADING_TIME = Duration.ofMillis(2500);

    /** Bound on the notices; the one that was not renewed for longest is forgotten first. */
    private static final int MAX_NOTICES = 4096;

    private static final int INITIAL_CAPACITY = 16;

    private static final float LOAD_FACTOR = 0.75f;

    /** Notices by the address of the engine, the least recently used first. */
    private final Map<String, Received> byAddress =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Received> eldest) {
                    return size() > MAX_NOTICES;
                }
            };

    /**
     * Records a notice. Ignores one of an earlier process at the same address.
     *
     * @param notice notice
     * @param now present time
     * @return whether the notice differs from the one before it
     */
    public boolean record(EngineNotice notice, Instant now) {
        Received known = byAddress.get(notice.address());
        if (known != null && notice.incarnation() < known.notice().incarnation()) {
            return false;
        }
        byAddress.put(notice.address(), new Received(notice, now));
        return known == null || !known.notice().equals(notice);
    }

    /**
     * Returns a registration with the version that the engine's agent has reported.
     *
     * @param registration registration as read from the store
     * @return the registration, with the higher version of both
     */
    public UpstreamRegistration merge(UpstreamRegistration registration) {
        Received received = byAddress.get(registration.address());
        if (received == null || !received.notice().concerns(registration)) {
            return registration;
        }
        EngineNotice notice = received.notice();
        int registered = registration.models().getOrDefault(notice.model(), 0);
        return notice.served() <= registered
                ? registration
                : registration.withVersion(notice.model(), notice.served());
    }

    /**
     * Returns whether an engine loads weights and takes no new requests.
     *
     * @param merged registration as returned by {@link #merge}
     * @param now present time
     * @return false once it serves the version, or if the load has taken too long
     */
    public boolean isLoading(UpstreamRegistration merged, Instant now) {
        Received received = byAddress.get(merged.address());
        if (received == null || !received.notice().concerns(merged)) {
            return false;
        }
        EngineNotice notice = received.notice();
        boolean pending = notice.loading() > merged.models().getOrDefault(notice.model(), 0);
        return pending && received.at().plus(MAX_LOADING_TIME).isAfter(now);
    }

    private record Received(EngineNotice notice, Instant at) {}
}
