package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.PromptPartId;

/** Checks an emulation against the rules on bad parts of prompts. Not thread-safe. */
final class PartsChecker {
    private static final int CRASHES = 5;

    // Time after the fifth crash from which bad requests count.
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private static final int ALLOWED_REQUESTS = 3;

    // Time after the fifth crash from which sound requests have to be served again.
    private static final Duration RECOVERY = Duration.ofSeconds(6);

    // Time before and after other faults that is left out for sound requests.
    private static final Duration FAULT_TIME = Duration.ofSeconds(6);

    private static final Duration WARM_UP = Duration.ofSeconds(3);

    private static final Duration WINDOW = Duration.ofSeconds(5);

    private static final int MIN_REQUESTS = 20;

    private static final Duration MAX_REFUSAL = Duration.ofSeconds(30);

    private final PartsScenario scenario;

    private final List<String> violations = new ArrayList<>();

    private final List<PartsRequest> received = new ArrayList<>();

    private final Map<BadPart, List<Instant>> crashes = new HashMap<>();

    private final Map<BadPart, List<String>> late = new HashMap<>();

    private final Map<PromptPartId, Instant> wantedAt = new HashMap<>();

    private final Map<HostId, Map<PromptPartId, Instant>> refusedSince = new HashMap<>();

    private long sound;

    private long soundRefused;

    /**
     * Creates a checker.
     *
     * @param scenario what happens
     */
    PartsChecker(PartsScenario scenario) {
        this.scenario = scenario;
        for (BadPart b : scenario.badParts()) {
            crashes.put(b, new ArrayList<>());
            late.put(b, new ArrayList<>());
        }
    }

    /**
     * Records that an entry gets a request.
     *
     * @param request request
     * @param now present time
     */
    void received(PartsRequest request, Instant now) {
        request.receivedAt = now;
        if (isSound(request)) {
            sound++;
            request.parts.forEach(p -> wantedAt.put(p, now));
            if (!request.repeated) {
                received.add(request);
            }
        }
    }

    /**
     * Records that an entry refuses a request for its parts.
     *
     * @param request request
     */
    void refused(PartsRequest request) {
        if (isSound(request)) {
            soundRefused++;
        }
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param request request
     * @param entry number of the entry
     * @param inTouch whether the entry has had no fault for some time
     * @param now present time
     */
    void reached(PartsRequest request, int entry, boolean inTouch, Instant now) {
        for (BadPart b : scenario.badParts()) {
            List<Instant> times = crashes.get(b);
            if (inTouch
                    && b.crashes(request, now)
                    && times.size() >= CRASHES
                    && now.isAfter(times.get(CRASHES - 1).plus(CONTACT))) {
                late.get(b).add(now.toEpochMilli() + "@" + entry + request.parts);
            }
        }
    }

    /**
     * Records that an upstream crashes.
     *
     * @param cause part that crashes it
     * @param now present time
     */
    void crashed(BadPart cause, Instant now) {
        crashes.get(cause).add(now);
    }

    /**
     * Checks the verdict of an entry about one part.
     *
     * @param host entry
     * @param part part that is never bad
     * @param refused whether requests with it alone are refused
     * @param now present time
     */
    void sampled(HostId host, PromptPartId part, boolean refused, Instant now) {
        Map<PromptPartId, Instant> since = refusedSince.computeIfAbsent(host, h -> new HashMap<>());
        if (!refused) {
            since.remove(part);
        } else if (since.putIfAbsent(part, now) != null
                && since.get(part).plus(MAX_REFUSAL).isBefore(now)) {
            violations.add("C " + host + " refuses " + part + " since " + since.get(part));
            since.put(part, now);
        }
    }

    /**
     * Returns the parts of sound requests of late.
     *
     * @param now present time
     * @return parts that are never bad
     */
    List<PromptPartId> wanted(Instant now) {
        wantedAt.values().removeIf(t -> t.plus(WINDOW.multipliedBy(2)).isBefore(now));
        return wantedAt.keySet().stream()
                .filter(p -> scenario.badParts().stream().noneMatch(b -> b.part().equals(p)))
                .toList();
    }

    /**
     * Ends the emulation.
     *
     * @return descriptions of what breaks a rule
     */
    List<String> violations() {
        for (BadPart b : scenario.badParts()) {
            if (late.get(b).size() > ALLOWED_REQUESTS) {
                violations.add(
                        "A " + b.part() + " crashes " + crashes.get(b) + " late " + late.get(b));
            }
            checkSound(b, "caller", r -> r.caller.equals(b.caller()));
            checkSound(b, "first part", r -> r.kind == b.kind());
        }
        return violations;
    }

    /**
     * Returns how many sound requests were refused for their parts.
     *
     * @return share from 0 to 1
     */
    double refusedShare() {
        return (double) soundRefused / sound;
    }

    /**
     * Returns the crashes of upstreams by bad parts.
     *
     * @return number of processes
     */
    int crashCount() {
        return crashes.values().stream().mapToInt(List::size).sum();
    }

    private boolean isSound(PartsRequest request) {
        return scenario.badParts().stream().noneMatch(b -> request.parts.contains(b.part()));
    }

    private void checkSound(BadPart bad, String shared, Predicate<PartsRequest> sharing) {
        List<Instant> times = crashes.get(bad);
        if (times.isEmpty()) {
            return;
        }
        Instant start = times.get(Math.min(CRASHES, times.size()) - 1).plus(RECOVERY);
        List<PartsRequest> group =
                received.stream().filter(sharing.and(r -> !isExcused(bad, r))).toList();
        Instant first =
                scenario.badParts().stream()
                        .map(BadPart::from)
                        .min(Instant::compareTo)
                        .orElseThrow();
        List<PartsRequest> before = between(group, Instant.EPOCH.plus(WARM_UP), first);
        compare(bad, shared, before, between(group, start, bad.until()), start);
        for (Instant t = start; t.isBefore(bad.until()); t = t.plus(WINDOW)) {
            Instant end = t.plus(WINDOW).isBefore(bad.until()) ? t.plus(WINDOW) : bad.until();
            compare(bad, shared, before, between(group, t, end), t);
        }
    }

    private void compare(
            BadPart bad,
            String shared,
            List<PartsRequest> before,
            List<PartsRequest> after,
            Instant from) {
        if (before.size() < MIN_REQUESTS || after.size() < MIN_REQUESTS) {
            return;
        }
        if (begunShare(after) < begunShare(before) / 2) {
            violations.add(
                    String.format(
                            "B %s same %s from %s: %.2f of %d, before %.2f",
                            bad.part(),
                            shared,
                            from,
                            begunShare(after),
                            after.size(),
                            begunShare(before)));
        }
    }

    private static List<PartsRequest> between(List<PartsRequest> all, Instant from, Instant until) {
        return all.stream()
                .filter(r -> !r.receivedAt.isBefore(from) && r.receivedAt.isBefore(until))
                .toList();
    }

    private static double begunShare(List<PartsRequest> requests) {
        return (double) requests.stream().filter(r -> r.begun).count() / requests.size();
    }

    // Other faults, and other bad parts until they have to be known, excuse what they may cause.
    private boolean isExcused(BadPart bad, PartsRequest r) {
        Instant at = r.receivedAt;
        boolean nearFault =
                scenario.faults().stream()
                        .anyMatch(
                                f ->
                                        at.isAfter(f.at().minus(WARM_UP))
                                                && at.isBefore(f.until().plus(FAULT_TIME)));
        return nearFault
                || scenario.badParts().stream()
                        .anyMatch(
                                b -> b != bad && !at.isBefore(b.from()) && at.isBefore(knownBy(b)));
    }

    private Instant knownBy(BadPart b) {
        List<Instant> times = crashes.get(b);
        return times.size() < CRASHES ? b.until() : times.get(CRASHES - 1).plus(RECOVERY);
    }
}
