package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;
import org.papayawalk.core.call.AttemptParameters;
import org.papayawalk.core.call.RequestMetadata;
import org.papayawalk.core.desired.AuthorizedRequest;
import org.papayawalk.core.desired.Caller;
import org.papayawalk.core.desired.Homes;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.RequestTiming;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Chooses the upstreams for the attempts of one request. A first attempt may go to any upstream
 * that takes it, as the measured delays may be out of date; a repeat only to one that it reaches
 * before the deadline. Confined to the event loop thread.
 */
final class UpstreamChoice {
    /** Largest priority value that upstreams accept; 0 is the most urgent. */
    private static final int LOWEST_UPSTREAM_PRIORITY = 9;

    private final EntryContext entry;

    private final AuthorizedRequest authorized;

    private final RequestMetadata metadata;

    private final RequestTiming timing;

    private final AttemptHistory attempts;

    private final HomeCheck homes;

    /**
     * Creates the choice for a request.
     *
     * @param entry shared state of the entry
     * @param request request of the caller
     * @param authorized request as authorized under the desired state
     * @param metadata what the caller states of the request
     * @param timing times of the request
     * @param attempts attempts of the request so far, updated by its exchange
     */
    UpstreamChoice(
            EntryContext entry,
            CallerRequest request,
            AuthorizedRequest authorized,
            RequestMetadata metadata,
            RequestTiming timing,
            AttemptHistory attempts) {
        this.entry = entry;
        this.authorized = authorized;
        this.metadata = metadata;
        this.timing = timing;
        this.attempts = attempts;
        this.homes = new HomeCheck(entry, request, authorized.homes(), metadata.apiKey());
    }

    /**
     * Returns from when on an upstream can serve the request, regardless of its load.
     *
     * @param now present time
     * @return present time or later; empty if no upstream of the service that takes requests again
     *     may serve the request, and holds an allowed version of the requested model or is loading
     *     weights
     */
    Optional<Instant> availableAt(Instant now) {
        return entry.upstreams().availableAt(service(), metadata.model(), homes.allowed(), now);
    }

    /**
     * Returns where the request may be served.
     *
     * @return homes by all desired states that were in force since the request was received
     */
    Homes homes() {
        return homes.homes();
    }

    /**
     * Chooses an upstream that has capacity for the next attempt.
     *
     * @param now present time
     * @return upstream, empty if none has capacity
     */
    Optional<PlacementCandidate> next(Instant now) {
        return choose(attempts.endedCount() > 0, now);
    }

    /**
     * Returns why the attempt in flight may not be sent to its upstream, whatever the load.
     *
     * @param upstream upstream
     * @param now present time
     * @return reason for the log, empty if the request may be sent
     */
    Optional<String> obstacle(UpstreamRegistration upstream, Instant now) {
        if (!entry.upstreams().takesRequests(upstream, metadata.model(), now)) {
            return Optional.of("takes the request no longer");
        }
        if (!homes.allowed().test(upstream)) {
            return Optional.of("lies outside the homes of the request");
        }
        return attempts.endedCount() > 0 && arrivesLate(upstream, now)
                ? Optional.of("would arrive too late")
                : Optional.empty();
    }

    /**
     * Returns whether the route allows another attempt.
     *
     * @return true if fewer upstreams than the maximum of the route have received the request
     */
    boolean hasAttemptsLeft() {
        return attempts.reachedCount() < authorized.route().maxAttempts();
    }

    /**
     * Returns whether the request could be sent to another upstream at once, so that its attempt in
     * flight may be given up.
     *
     * @param now present time
     * @return false if the attempts, the time or the retry budget are used up, or if no other
     *     upstream has capacity
     */
    boolean canRepeat(Instant now) {
        return hasAttemptsLeft()
                && timing.leavesTime(Duration.ZERO, now)
                && entry.retryBudget(service()).allows(entry.entryCount(), now)
                && choose(true, now).isPresent();
    }

    /**
     * Returns what an attempt states to its upstream.
     *
     * @param upstream upstream
     * @param lastEventId last event that the caller has received
     * @param now present time
     * @return parameters of the attempt
     */
    AttemptParameters parameters(
            UpstreamRegistration upstream, Optional<String> lastEventId, Instant now) {
        Optional<String> model = metadata.model();
        int priority = Math.min(LOWEST_UPSTREAM_PRIORITY, authorized.priority());
        return new AttemptParameters(
                upstream.id(),
                Math.max(1, Duration.between(now, timing.deadline()).toMillis()),
                authorized.caller().map(Caller::team),
                entry.upstreams().pinnedVersion(upstream, model, now),
                model.isPresent() ? OptionalInt.of(priority) : OptionalInt.empty(),
                lastEventId);
    }

    private Optional<PlacementCandidate> choose(boolean repeat, Instant now) {
        List<PlacementCandidate> candidates =
                entry.upstreams().candidates(service(), metadata.model(), now);
        if (homes.binds()) {
            Predicate<UpstreamRegistration> allowed = homes.allowed();
            candidates.removeIf(c -> !allowed.test(c.upstream()));
        }
        if (repeat) {
            candidates.removeIf(c -> arrivesLate(c.upstream(), now));
        }
        return entry.placement()
                .rule(service(), authorized.priority(), timing.cameLate())
                .choose(candidates, attempts.upstreams(), now);
    }

    private boolean arrivesLate(UpstreamRegistration upstream, Instant now) {
        return !timing.leavesTime(entry.upstreams().delays().estimate(upstream, now), now);
    }

    private ServiceId service() {
        return authorized.service();
    }
}
