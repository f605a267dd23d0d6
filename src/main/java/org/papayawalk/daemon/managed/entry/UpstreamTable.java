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
import java.util.function.Predicate;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.MinimumVersionRule;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.place.UpstreamLoad;
import org.papayawalk.core.place.WithheldUpstreams;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.daemon.managed.PlatformSnapshot;

/**
 * Upstreams that requests may be sent to, with the load and the connections of each process.
 * Confined to the event loop thread.
 */
final class UpstreamTable {
    /** Time for which an upstream gets no request after another process answered at its address. */
    private static final Duration MISDIRECTED_PAUSE = Duration.ofSeconds(1);

    private final EventLoop loop;

    private final InstantSource clock;

    private final MinimumVersionRule versionRule;

    private final WithheldUpstreams withheld;

    private final MessageDelays delays = new MessageDelays();

    private final Map<UpstreamId, Upstream> upstreams = new HashMap<>();

    private final Map<ServiceId, List<Upstream>> byService = new HashMap<>();

    /** Snapshot that the table was built from. */
    private PlatformSnapshot snapshot = PlatformSnapshot.EMPTY;

    /**
     * Upstream process with its load and connections.
     *
     * @param registration description that the process published
     * @param load load and health as measured by this entry
     * @param pool connections
     */
    record Upstream(
            UpstreamRegistration registration, UpstreamLoad load, UpstreamConnectionPool pool) {}

    /**
     * Creates an empty table.
     *
     * @param loop event loop thread
     * @param clock monotonic clock
     * @param versionRule rule for the versions of weights that may answer
     * @param withheld upstreams that have stated that they take no new requests
     */
    UpstreamTable(
            EventLoop loop,
            InstantSource clock,
            MinimumVersionRule versionRule,
            WithheldUpstreams withheld) {
        this.loop = loop;
        this.clock = clock;
        this.versionRule = versionRule;
        this.withheld = withheld;
    }

    /**
     * Replaces the upstreams with those of a new snapshot. A process that is in both snapshots
     * keeps its load and connections.
     *
     * @param newSnapshot snapshot
     */
    void update(PlatformSnapshot newSnapshot) {
        snapshot = newSnapshot;
        byService.clear();
        Set<UpstreamId> present = new HashSet<>();
        newSnapshot
                .upstreams()
                .ifPresent(
                        services ->
                                services.values()
                                        .forEach(list -> list.forEach(r -> put(r, present))));
        upstreams
                .entrySet()
                .removeIf(
                        u -> {
                            boolean removed = !present.contains(u.getKey());
                            if (removed) {
                                u.getValue().pool().close();
                            }
                            return removed;
                        });
    }

    /**
     * Returns the current snapshot.
     *
     * @return snapshot, {@link PlatformSnapshot#EMPTY} before the first update
     */
    PlatformSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the upstreams that can serve a request at present, regardless of their load.
     *
     * @param service service of the request
     * @param model model of the request, empty if it needs none
     * @param now present time
     * @return candidates, in no particular order
     */
    List<PlacementCandidate> candidates(ServiceId service, Optional<String> model, Instant now) {
        List<PlacementCandidate> list = new ArrayList<>();
        for (Upstream u : byService.getOrDefault(service, List.of())) {
            if (snapshot.loading().contains(u.registration().id())
                    || withheld.isWithheld(u.registration().process(), now)) {
                continue;
            }
            if (mayAnswer(u.registration(), model, now)) {
                list.add(new PlacementCandidate(u.registration(), u.load()));
            }
        }
        return list;
    }

    /**
     * Returns from when on an upstream can serve a request, once it has loaded weights.
     *
     * @param service service of the request
     * @param model model of the request, empty if it needs none
     * @param allowed whether an upstream may serve the request at all
     * @param now present time
     * @return present time, or a later one if all upstreams that can serve it take no new requests
     *     until then; empty if no upstream holds an allowed version and none is loading, except
     *     those that leave
     */
    Optional<Instant> availableAt(
            ServiceId service,
            Optional<String> model,
            Predicate<UpstreamRegistration> allowed,
            Instant now) {
        return byService.getOrDefault(service, List.of()).stream()
                .map(Upstream::registration)
                .filter(allowed)
                .filter(r -> snapshot.loading().contains(r.id()) || mayAnswer(r, model, now))
                .map(r -> withheld.until(r.process()))
                .filter(t -> t.isBefore(Instant.MAX))
                .min(Instant::compareTo)
                .map(t -> t.isAfter(now) ? t : now);
    }

    /**
     * Returns the measured delays of messages to the upstreams.
     *
     * @return delays, updated by each attempt
     */
    MessageDelays delays() {
        return delays;
    }

    /**
     * Returns whether a request may be sent to an upstream now, regardless of its load.
     *
     * @param registration upstream
     * @param model model of the request, empty if it needs none
     * @param now present time
     * @return false if the upstream does not hold an allowed version of the model
     */
    boolean mayAnswer(UpstreamRegistration registration, Optional<String> model, Instant now) {
        return model.isEmpty() || holdsAllowedVersion(registration, model.get(), now);
    }

    /**
     * Returns the version of weights that the upstream is required to answer with. While older
     * versions may still answer, none is required; afterwards it is the version that the upstream
     * has reported.
     *
     * @param registration upstream
     * @param model model of the request, empty if it needs none
     * @param now present time
     * @return version number, empty if any version may answer
     */
    OptionalInt pinnedVersion(
            UpstreamRegistration registration, Optional<String> model, Instant now) {
        Integer held = model.map(registration.models()::get).orElse(null);
        boolean anyVersion =
                held == null || minimumVersion(registration, model.get(), now).isEmpty();
        return anyVersion ? OptionalInt.empty() : OptionalInt.of(held);
    }

    /**
     * Returns when a request has to be withdrawn from an upstream if its response has not begun,
     * because the version of weights that the upstream serves expires.
     *
     * @param registration upstream
     * @param model model of the request, empty if it needs none
     * @param now present time
     * @return time, empty if the version does not expire; may change with the delay of messages
     */
    Optional<Instant> withdrawAt(
            UpstreamRegistration registration, Optional<String> model, Instant now) {
        Integer held = model.map(registration.models()::get).orElse(null);
        return held == null
                ? Optional.empty()
                : versionRule.withdrawAt(
                        snapshot.versions().getOrDefault(model.get(), List.of()),
                        held,
                        delays.estimate(registration, now));
    }

    /**
     * Returns an upstream.
     *
     * @param id id of the upstream
     * @return upstream, empty if the current snapshot does not have it
     */
    Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Returns whether a request may still be sent to an upstream that was chosen for it.
     *
     * @param registration upstream when it was chosen
     * @param model model of the request, empty if it needs none
     * @param now present time
     * @return false if it has left the table or been replaced since, if it takes no new requests,
     *     if its failure domain is evacuated, or if it does not hold an allowed version of the
     *     model
     */
    boolean takesRequests(UpstreamRegistration registration, Optional<String> model, Instant now) {
        Upstream u = upstreams.get(registration.id());
        boolean listed = u != null && u.registration().sameProcess(registration);
        return listed
                && !isEvacuated(u.registration())
                && !withheld.isWithheld(registration.process(), now)
                && mayAnswer(u.registration(), model, now);
    }

    /**
     * Pauses an upstream after another process answered at its address.
     *
     * @param id id of the upstream
     * @param now present time
     */
    void pauseMisdirected(UpstreamId id, Instant now) {
        Upstream u = upstreams.get(id);
        if (u != null) {
            u.load().pauseUntil(now.plus(MISDIRECTED_PAUSE));
        }
    }

    private void put(UpstreamRegistration registration, Set<UpstreamId> present) {
        present.add(registration.id());
        Upstream known = upstreams.get(registration.id());
        Upstream next;
        if (known != null && known.registration().sameProcess(registration)) {
            next = new Upstream(registration, known.load(), known.pool());
        } else {
            if (known != null) {
                known.pool().close();
            }
            withheld.registered(registration.process());
            UpstreamConnectionPool pool =
                    new UpstreamConnectionPool(loop, registration.address(), clock);
            next = new Upstream(registration, new UpstreamLoad(), pool);
        }
        upstreams.put(registration.id(), next);
        if (isEvacuated(registration)) {
            // Its requests in flight go on, so it keeps its load and connections.
            return;
        }
        byService.computeIfAbsent(registration.service(), s -> new ArrayList<>()).add(next);
    }

    private boolean isEvacuated(UpstreamRegistration registration) {
        return snapshot.evacuated().contains(registration.domain());
    }

    private boolean holdsAllowedVersion(
            UpstreamRegistration registration, String model, Instant now) {
        Integer held = registration.models().get(model);
        if (held == null) {
            return false;
        }
        List<RequestedVersion> versions = snapshot.versions().getOrDefault(model, List.of());
        boolean newest = versions.isEmpty() || versions.get(versions.size() - 1).number() <= held;
        if (newest) {
            return true;
        }
        OptionalInt required = minimumVersion(registration, model, now);
        return required.isEmpty() || held >= required.getAsInt();
    }

    private OptionalInt minimumVersion(
            UpstreamRegistration registration, String model, Instant now) {
        List<RequestedVersion> versions = snapshot.versions().getOrDefault(model, List.of());
        return versions.isEmpty()
                ? OptionalInt.empty()
                : versionRule.lowestAllowed(versions, delays.estimate(registration, now), now);
    }
}
