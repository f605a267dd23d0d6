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
import org.papayawalk.adapter.Json;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostState;

/**
 * Host list that shows each change only after a lag. {@code PUT /lab/hosts} sets the list, {@code
 * POST /lab/leaving/HOST} marks a host as leaving. Thread-safe: one lock.
 */
public final class HostListStandIn implements HttpRequestHandler {
    /** Status of something that does not exist. */
    private static final int NOT_FOUND = 404;

    /** Time until a change shows. */
    private final Duration propagationDelay;

    /** Clock. */
    private final InstantSource clock;

    /** Lists that do not show yet, oldest first. */
    private final Deque<Pending> pendingLists = new ArrayDeque<>();

    /** List that shows. */
    private List<HostRecord> visibleHosts;

    /**
     * Creates a list.
     *
     * @param hosts first list, which shows at once
     * @param lag time until a change shows
     * @param clock clock
     */
    public HostListStandIn(List<HostRecord> hosts, Duration lag, InstantSource clock) {
        this.visibleHosts = List.copyOf(hosts);
        this.propagationDelay = lag;
        this.clock = clock;
    }

    /**
     * Changes the list; the change shows after the lag.
     *
     * @param hosts new list
     */
    public synchronized void setHosts(List<HostRecord> hosts) {
        pendingLists.addLast(
                new Pending(clock.instant().plus(propagationDelay), List.copyOf(hosts)));
    }

    /**
     * Returns the list as it shows now.
     *
     * @return hosts
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
            HttpMessages.writeError(response, NOT_FOUND, "path " + path + " does not exist");
        }
    }

    /**
     * Marks a host as leaving.
     *
     * @param host name of the host
     */
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

    /**
     * List that does not show yet. Immutable.
     *
     * @param visibleAt when it shows
     * @param hosts list
     */
    private record Pending(Instant visibleAt, List<HostRecord> hosts) {}
}
