package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.MinimumVersionRule;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.UpstreamLoad;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.daemon.managed.PlatformSnapshot;

/**
 * Upstreams as the traffic thread sees them: entry, load and connections of each process. Confined
 * to the traffic thread.
 */
final class UpstreamTable {
    /** Time for which an upstream takes no request after another process had its address. */
    private static final Duration MISDIRECTED_PAUSE = Duration.ofSeconds(1);

    /** Traffic thread. */
    private final EventLoop loop;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Decides which version of weights may answer. */
    private final MinimumVersionRule versionRule;

    /** Upstreams by name. */
    private final Map<UpstreamId, Upstream> upstreams = new HashMap<>();

    /** Upstreams by service. */
    private final Map<ServiceId, List<Upstream>> byService = new HashMap<>();

    /** View that the upstreams were taken from. */
    private PlatformSnapshot view = PlatformSnapshot.EMPTY;

    /**
     * Upstream process with its load and connections.
     *
     * @param entry what it says of itself
     * @param load load and health
     * @param pool connections
     */
    record Upstream(UpstreamRegistration entry, UpstreamLoad load, UpstreamConnectionPool pool) {}

    /**
     * Creates a fleet without upstreams.
     *
     * @param loop traffic thread
     * @param clock clock that never jumps
     * @param versionRule decides which version of weights may answer
     */
    UpstreamTable(EventLoop loop, InstantSource clock, MinimumVersionRule versionRule) {
        this.loop = loop;
        this.clock = clock;
        this.versionRule = versionRule;
    }

    /**
     * Takes a new view.
     *
     * @param newView view
     */
    void update(PlatformSnapshot newView) {
        view = newView;
        byService.clear();
        Set<UpstreamId> present = new HashSet<>();
        newView.upstreams()
                .ifPresent(
                        services ->
                                services.values().forEach(l -> l.forEach(e -> put(e, present))));
        upstreams
                .entrySet()
                .removeIf(
                        u -> {
                            boolean gone = !present.contains(u.getKey());
                            if (gone) {
                                u.getValue().pool().close();
                            }
                            return gone;
                        });
    }

    /**
     * Returns the view in force.
     *
     * @return view
     */
    PlatformSnapshot view() {
        return view;
    }

    /**
     * Returns the upstreams that may take a request.
     *
     * @param service service of the request
     * @param model model of the request, empty if it is for none
     * @param now present time
     * @return candidates
     */
    List<PlacementCandidate> candidates(ServiceId service, Optional<String> model, Instant now) {
        List<PlacementCandidate> list = new ArrayList<>();
        for (Upstream u : byService.getOrDefault(service, List.of())) {
            if (model.isEmpty() || holdsAllowedVersion(u.entry(), model.get(), now)) {
                list.add(new PlacementCandidate(u.entry(), u.load()));
            }
        }
        return list;
    }

    /**
     * Returns the lowest version of weights that may answer a request.
     *
     * @param model model of the request, empty if it is for none
     * @param now present time
     * @return number of the version, empty if any that upstreams hold may answer
     */
    OptionalInt minimumVersion(Optional<String> model, Instant now) {
        return model.map(m -> view.versions().getOrDefault(m, List.of()))
                .map(named -> versionRule.lowestAllowed(named, now))
                .orElse(OptionalInt.empty());
    }

    /**
     * Returns the version of weights that an upstream must hold to answer. Once old versions may
     * not answer any more, the upstream is held to the version that it is known to hold.
     *
     * @param entry upstream
     * @param model model of the request, empty if it is for none
     * @param now present time
     * @return number of the version, empty if any may answer
     */
    OptionalInt pinnedVersion(UpstreamRegistration entry, Optional<String> model, Instant now) {
        Integer held = model.map(entry.models()::get).orElse(null);
        boolean any = held == null || minimumVersion(model, now).isEmpty();
        return any ? OptionalInt.empty() : OptionalInt.of(held);
    }

    /**
     * Returns an upstream.
     *
     * @param id name
     * @return upstream, empty if it is not present
     */
    Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Keeps an upstream from taking requests, because another process has its address.
     *
     * @param id name
     * @param now present time
     */
    void pauseMisdirected(UpstreamId id, Instant now) {
        Upstream u = upstreams.get(id);
        if (u != null) {
            u.load().pauseUntil(now.plus(MISDIRECTED_PAUSE));
        }
    }

    /**
     * Takes an entry of a view.
     *
     * @param entry entry
     * @param present names seen in the view
     */
    private void put(UpstreamRegistration entry, Set<UpstreamId> present) {
        present.add(entry.id());
        Upstream known = upstreams.get(entry.id());
        Upstream next;
        if (known != null && known.entry().sameProcess(entry)) {
            next = new Upstream(entry, known.load(), known.pool());
        } else {
            if (known != null) {
                known.pool().close();
            }
            UpstreamConnectionPool pool = new UpstreamConnectionPool(loop, entry.address(), clock);
            next = new Upstream(entry, new UpstreamLoad(), pool);
        }
        upstreams.put(entry.id(), next);
        byService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(next);
    }

    /**
     * Tells whether an upstream holds a version of a model that may answer.
     *
     * @param entry upstream
     * @param model name of the model
     * @param now present time
     * @return true if it does
     */
    private boolean holdsAllowedVersion(UpstreamRegistration entry, String model, Instant now) {
        Integer held = entry.models().get(model);
        if (held == null) {
            return false;
        }
        OptionalInt required = minimumVersion(Optional.of(model), now);
        return required.isEmpty() || held >= required.getAsInt();
    }
}
