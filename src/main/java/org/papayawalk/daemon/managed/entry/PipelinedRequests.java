package org.papayawalk.daemon.managed.entry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Complete requests of one connection that wait for the current one to end. Confined to the event
 * loop thread.
 */
final class PipelinedRequests {
    /** Requests that may wait on one connection. */
    private static final int MAX_WAITING = 16;

    private final CallerConnections connections;

    private final Deque<CallerRequest> waiting = new ArrayDeque<>();

    /**
     * Creates a queue in which no request waits.
     *
     * @param connections all connections, whose requests are counted together
     */
    PipelinedRequests(CallerConnections connections) {
        this.connections = connections;
    }

    /**
     * Adds a request behind those that wait.
     *
     * @param request request
     */
    void add(CallerRequest request) {
        waiting.addLast(request);
        connections.pipelined(1);
    }

    /**
     * Removes the request that waits longest.
     *
     * @return request, to be released
     */
    CallerRequest removeFirst() {
        connections.pipelined(-1);
        return waiting.removeFirst();
    }

    /**
     * Returns whether no request waits.
     *
     * @return true if the queue is empty
     */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Returns whether a further request may be received.
     *
     * @return false while too many wait here, or one waits here and too many do on all connections
     */
    boolean hasRoom() {
        return isEmpty() || (waiting.size() <= MAX_WAITING && connections.allowsPipelining());
    }

    /** Releases all requests, as their connection has closed. */
    void discard() {
        connections.pipelined(-waiting.size());
        waiting.forEach(CallerRequest::release);
        waiting.clear();
    }
}
