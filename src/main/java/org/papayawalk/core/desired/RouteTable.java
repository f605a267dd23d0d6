package org.papayawalk.core.desired;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Routing table by host name and longest path prefix. Immutable. */
public final class RouteTable {
    /** Routes by host, longest prefix first. */
    private final Map<String, List<RouteRule>> byHost = new HashMap<>();

    /**
     * Creates a routing table.
     *
     * @param routes routes in any order; of two with the same host and prefix the first is used
     */
    public RouteTable(Collection<RouteRule> routes) {
        for (RouteRule r : routes) {
            byHost.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(r);
        }
        Comparator<RouteRule> longestFirst = Comparator.comparingInt(r -> -r.prefix().length());
        byHost.values().forEach(l -> l.sort(longestFirst));
    }

    /**
     * Finds the route of a request.
     *
     * @param host value of the Host header, with or without a port, may be null
     * @param target request target: path and query
     * @return the route with the longest prefix of the path, empty if none matches
     */
    public Optional<RouteRule> find(String host, String target) {
        if (host == null) {
            return Optional.empty();
        }
        int colon = host.lastIndexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return byHost.getOrDefault(name, List.of()).stream()
                .filter(r -> path.startsWith(r.prefix()))
                .findFirst();
    }

    /**
     * Returns the routes.
     *
     * @return routes by host; of each host the longest prefix first, and of two with the same
     *     prefix the one that is used
     */
    public List<RouteRule> all() {
        return byHost.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .flatMap(e -> e.getValue().stream())
                .toList();
    }

    /**
     * Returns the number of routes.
     *
     * @return 0 or more
     */
    public int size() {
        return byHost.values().stream().mapToInt(List::size).sum();
    }
}
