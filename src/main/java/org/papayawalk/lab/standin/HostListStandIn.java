package org.papayawalk.lab.standin;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostState;

/**
 * Host list that publishes each change only after a delay. {@code PUT /lab/hosts} replaces the
 * list, {@code POST /lab/leaving/HOST} marks a host as leaving. Thread-safe: one lock.
 */
public final class HostListStandIn implements HttpRequestHandler {
    private static final int NOT_FOUND = 404;

    private final Duration propagationDelay;
    private final InstantSource clock;

    // Lists that are not published yet, oldest first.
    private final Deque<Pending> pendingLists = new ArrayDeque<>();

    private List<HostRecord> visibleHosts;

    /**
     * Creates a host list.
     *
     * @param hosts first list, published at once
     * @param propagationDelay time until a change is published, 0 or more
     * @param clock clock of the delay
     */
    public HostListStandIn(List<HostRecord> hosts, Duration propagationDelay, InstantSource clock) {
        this.visibleHosts = List.copyOf(hosts);
        this.propagationDelay = propagationDelay;
        this.clock = clock;
    }

    /**
     * Replaces the list after the propagation delay.
     *
     * @param hosts new list
     */
    public synchronized void setHosts(List<HostRecord> hosts) {
        pendingLists.addLast(
                new Pending(clock.instant().plus(propagationDelay), List.copyOf(hosts)));
    }

    /**
     * Returns the published list.
     *
     * @return hosts, without changes that are still delayed
     */
    public synchronized List<HostRecord> visibleHosts() {
        while (!pendingLists.isEmpty()
                && !pendingLists.peekFirst().visibleAt().isAfter(clock.instant())) {
            visibleHosts = pendingLists.removeFirst().hosts();
        }
        return visibleHosts;
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String path = HttpMessages.path(request);
        if (path.equals("/v1/hosts")) {
            HttpMessages.writeJson(response, 200, visibleHosts());
        } else if (path.equals("/lab/hosts")) {
            setHosts(Json.read(HttpMessages.readBody(request), new TypeReference<>() {}));
            HttpMessages.writeJson(response, 200, Map.of("accepted", true));
        } else if (path.startsWith("/lab/leaving/")) {
            markLeaving(path.substring("/lab/leaving/".length()));
            HttpMessages.writeJson(response, 200, Map.of("accepted", true));
        } else {
            HttpMessages.writeError(
                    response, NOT_FOUND, "path \"%s\" does not exist".formatted(path));
        }
    }

    private synchronized void markLeaving(String host) {
        List<HostRecord> latest =
                pendingLists.isEmpty() ? visibleHosts : pendingLists.peekLast().hosts();
        setHosts(
                latest.stream()
                        .map(
                                r ->
                                        r.host().value().equals(host)
                                                ? new HostRecord(
                                                        r.host(),
                                                        r.domain(),
                                                        r.region(),
                                                        r.role(),
                                                        r.fleet(),
                                                        r.address(),
                                                        HostState.LEAVING)
                                                : r)
                        .toList());
    }

    private record Pending(Instant visibleAt, List<HostRecord> hosts) {}
}
