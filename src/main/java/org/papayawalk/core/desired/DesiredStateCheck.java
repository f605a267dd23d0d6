package org.papayawalk.core.desired;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks a desired state before it is sent: entries that can never match, limits that contradict
 * each other, and homes that leave nothing. Stateless; thread-safe.
 */
public final class DesiredStateCheck {
    private DesiredStateCheck() {}

    /**
     * Checks a desired state.
     *
     * @param desired desired state as it would be in force
     * @return findings in the order of the routes, services and teams
     */
    public static List<Finding> check(DesiredState desired) {
        List<Finding> findings = new ArrayList<>();
        checkRoutes(desired, findings);
        checkServices(desired, findings);
        checkTeams(desired, findings);
        checkLimits(desired.limits(), findings);
        return findings;
    }

    private static void checkRoutes(DesiredState desired, List<Finding> findings) {
        Map<String, String> firstByPrefix = new HashMap<>();
        for (RouteRule r : desired.routes().all()) {
            String subject = "route \"" + r.name() + "\"";
            String first = firstByPrefix.putIfAbsent(r.host() + " " + r.prefix(), r.name());
            if (first != null) {
                String text = "never matches, as route \"%s\" has the same host and prefix";
                findings.add(Finding.error(subject, text.formatted(first)));
            }
            checkMatch(r, subject, findings);
            checkShares(desired, r, subject, findings);
            checkTimes(r, subject, findings);
        }
    }

    private static void checkMatch(RouteRule route, String subject, List<Finding> findings) {
        if (route.host().isBlank()) {
            findings.add(Finding.error(subject, "never matches, as it has no host"));
        }
        if (!route.prefix().startsWith("/") || !route.prefix().endsWith("/")) {
            String text = "prefix \"%s\" does not begin and end with a slash";
            findings.add(Finding.error(subject, text.formatted(route.prefix())));
        }
    }

    private static void checkShares(
            DesiredState desired, RouteRule route, String subject, List<Finding> findings) {
        boolean several = route.shares().size() > 1;
        for (TrafficShare s : route.shares()) {
            if (!desired.services().containsKey(s.service())) {
                String text = "sends requests to service \"%s\", which is not listed";
                findings.add(Finding.error(subject, text.formatted(s.service())));
            }
            if (several && s.weight() <= 0) {
                String text = "gives service \"%s\" no requests, as its weight is %d";
                findings.add(Finding.warning(subject, text.formatted(s.service(), s.weight())));
            }
        }
    }

    private static void checkTimes(RouteRule route, String subject, List<Finding> findings) {
        if (route.timeout().isZero() || route.timeout().isNegative()) {
            findings.add(Finding.error(subject, "leaves no time: its timeout is not above 0"));
        } else if (route.targetLatency().compareTo(route.timeout()) > 0) {
            String text = "targets %d ms, but requests end after %d ms";
            findings.add(
                    Finding.error(
                            subject,
                            text.formatted(
                                    route.targetLatency().toMillis(), route.timeout().toMillis())));
        }
        if (route.maxAttempts() > 1 && !route.retryable()) {
            String text = "allows %d attempts, but its requests may run only once";
            findings.add(Finding.warning(subject, text.formatted(route.maxAttempts())));
        }
        if (route.resumable() && route.kind() != RequestKind.STREAMING) {
            findings.add(Finding.warning(subject, "resumes streams, but has none"));
        }
    }

    private static void checkServices(DesiredState desired, List<Finding> findings) {
        Set<Object> used = new HashSet<>();
        desired.routes().all().forEach(r -> r.shares().forEach(s -> used.add(s.service())));
        sorted(desired.services().values())
                .forEach(
                        s -> {
                            String subject = "service \"" + s.id() + "\"";
                            if (!used.contains(s.id()) && s.origin().isEmpty()) {
                                findings.add(Finding.warning(subject, "no route leads to it"));
                            }
                            if (s.coldPerSecond().isPresent()
                                    && s.coldPerSecond().getAsDouble() <= 0) {
                                String text = "its servers get nothing while they are cold";
                                findings.add(Finding.warning(subject, text));
                            }
                        });
    }

    private static List<ServiceSpec> sorted(Collection<ServiceSpec> services) {
        return services.stream()
                .sorted((a, b) -> a.id().value().compareTo(b.id().value()))
                .toList();
    }

    private static void checkTeams(DesiredState desired, List<Finding> findings) {
        Set<Caller> teams = new HashSet<>(desired.callersByKey().values());
        if (desired.apiKeyRequired() && teams.isEmpty()) {
            findings.add(Finding.warning("teams", "no team has a key, so no request has one"));
        }
        teams.stream()
                .sorted((a, b) -> a.team().value().compareTo(b.team().value()))
                .forEach(t -> checkHomes(desired, t, findings));
    }

    private static void checkHomes(DesiredState desired, Caller team, List<Finding> findings) {
        for (RouteRule r : desired.routes().all()) {
            boolean nothing =
                    team.homes().and(r.homes()).regions().filter(Set::isEmpty).isPresent();
            if (nothing) {
                String text = "its requests on route \"%s\" may be served in no region";
                findings.add(
                        Finding.error("team \"" + team.team() + "\"", text.formatted(r.name())));
            }
        }
    }

    private static void checkLimits(CallerLimits limits, List<Finding> findings) {
        if (limits.maxHeaderBytes() <= 0) {
            findings.add(Finding.error("limits", "no request has a head of 0 bytes"));
        }
        if (limits.headerTimeout().isZero() || limits.idleTimeout().isZero()) {
            findings.add(Finding.error("limits", "a timeout of 0 ends every connection"));
        } else if (limits.headerTimeout().compareTo(limits.idleTimeout()) > 0) {
            findings.add(
                    Finding.warning(
                            "limits", "a head may take longer than an idle connection lasts"));
        }
    }
}
