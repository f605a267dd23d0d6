package org.papayawalk.core.desired;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Tells in which parts two desired states differ. Stateless; thread-safe. */
public final class DesiredStateDifference {
    private DesiredStateDifference() {}

    /**
     * Compares two desired states.
     *
     * @param before desired state in force
     * @param after desired state that would replace it
     * @return one line for each part that was added, removed or changed; keys are not shown
     */
    public static List<String> between(DesiredState before, DesiredState after) {
        List<String> lines = new ArrayList<>();
        if (after.version() <= before.version()) {
            lines.add(
                    "version %d is not above %d: it would be ignored"
                            .formatted(after.version(), before.version()));
        }
        compare("route", byName(before.routes().all()), byName(after.routes().all()), lines);
        compare("service", services(before), services(after), lines);
        compare("team", teams(before), teams(after), lines);
        if (!before.limits().equals(after.limits())) {
            lines.add("limits changed: %s, now %s".formatted(before.limits(), after.limits()));
        }
        if (before.apiKeyRequired() != after.apiKeyRequired()) {
            lines.add(
                    after.apiKeyRequired()
                            ? "requests need a key now"
                            : "requests need no key any more");
        }
        return lines;
    }

    private static Map<String, Object> byName(List<RouteRule> routes) {
        return routes.stream()
                .collect(
                        Collectors.toMap(
                                RouteRule::name, Function.identity(), (a, b) -> a, TreeMap::new));
    }

    private static Map<String, Object> services(DesiredState state) {
        Map<String, Object> services = new TreeMap<>();
        state.services().forEach((id, spec) -> services.put(id.value(), spec));
        return services;
    }

    private static Map<String, Object> teams(DesiredState state) {
        Map<String, Set<Object>> teams = new TreeMap<>();
        state.callersByKey()
                .forEach(
                        (key, caller) -> {
                            Set<Object> parts =
                                    teams.computeIfAbsent(
                                            caller.team().value(), t -> new HashSet<>());
                            parts.add(key);
                            parts.add(caller);
                        });
        return new TreeMap<>(teams);
    }

    private static void compare(
            String kind, Map<String, Object> before, Map<String, Object> after, List<String> to) {
        Set<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            Object old = before.get(name);
            Object present = after.get(name);
            if (!Objects.equals(old, present)) {
                String what = old == null ? "added" : present == null ? "removed" : "changed";
                to.add("%s \"%s\" %s".formatted(kind, name, what));
            }
        }
    }
}
